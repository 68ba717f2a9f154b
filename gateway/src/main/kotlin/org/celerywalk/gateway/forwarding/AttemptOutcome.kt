package org.celerywalk.gateway.forwarding

import kotlin.time.Duration

/** Outcome of one attempt to have an endpoint execute a request. */
internal sealed interface AttemptOutcome {
    /** The response was relayed completely. */
    data object Completed : AttemptOutcome

    /** The endpoint did not execute the request: it refused the request if [wasSent], otherwise nothing was sent. */
    data class NotExecuted(val reason: String, val wasSent: Boolean) : AttemptOutcome

    /** The endpoint may have executed the request, but its response is missing, incomplete or unusable. */
    data class ResponseLost(val reason: String) : AttemptOutcome

    /** The stream was cancelled in order to resume it at another endpoint, with a retry that was taken for this. */
    data object Relocated : AttemptOutcome

    /**
     * The endpoint was silent, and the send was cancelled in order to go on at another endpoint, with a retry that was
     * taken for this.
     */
    data class Stalled(val reason: String) : AttemptOutcome

    /** The endpoint had not begun to answer in time, and the send was cancelled. */
    data class NotStarted(val reason: String) : AttemptOutcome

    /** The endpoint executed the request and responded with a server error. */
    class ServerError(val response: BufferedResponse) : AttemptOutcome

    /**
     * Nothing was sent: no endpoint can serve the request in time, or its path can't be sent unchanged.
     *
     * @property isTemporary true if the rejection is about the endpoints, which may soon take the request.
     */
    data class Rejected(val reason: String, val retryAfter: Duration, val isTemporary: Boolean = true) : AttemptOutcome

    /** The request was cancelled before it was sent. */
    data object Cancelled : AttemptOutcome

    /** True if the endpoint may have executed the request. */
    val mayHaveExecuted: Boolean
        get() = this is Completed || this is ResponseLost || this is ServerError || this is NotStarted || hasTakenRetry

    /** True if the gateway cancelled the send itself and holds a retry for the next one. */
    val hasTakenRetry: Boolean get() = this is Relocated || this is Stalled

    /** True if the endpoint gave no usable response, which counts against its health. */
    val isUnreachable: Boolean
        get() = this is ResponseLost || this is NotStarted || this is Stalled || (this is NotExecuted && !wasSent)

    /** Reason why the attempt gave no complete response, or null if it did. */
    val failureReason: String?
        get() = when (this) {
            is Completed -> null
            is NotExecuted -> reason
            is ResponseLost -> reason
            is Relocated -> "relocated"
            is NotStarted -> reason
            is Stalled -> reason
            is ServerError -> "status_${response.status}"
            is Rejected -> reason
            is Cancelled -> "cancelled"
        }
}
