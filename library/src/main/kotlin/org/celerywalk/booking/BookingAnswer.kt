package org.celerywalk.booking

import org.celerywalk.error.Execution
import kotlin.time.Duration

/** HTTP answer of a plain service to a booking. */
public class BookingAnswer(
    public val status: Int,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
)

/** Outcome of one attempt's call of the plain service. */
public sealed interface CallResult {
    /** The service answered. */
    public data class Answered(public val answer: BookingAnswer) : CallResult

    /** The call did not reach the service and never will. */
    public data class NotSent(public val message: String) : CallResult

    /** The service may have executed the call. */
    public data class Lost(public val message: String) : CallResult
}

/**
 * Reply to an attempt.
 *
 * @property answer the service's answer, present if and only if [execution] is `RAN`.
 * @property replayed true if [answer] is the recorded answer of an earlier attempt.
 * @property code machine-readable reason, empty if there is an answer.
 * @property retryAfter delay after which the caller may retry, null if there is no advice.
 */
public data class BookingReply(
    public val execution: Execution,
    public val answer: BookingAnswer? = null,
    public val replayed: Boolean = false,
    public val code: String = "",
    public val message: String = "",
    public val retryAfter: Duration? = null,
) {
    internal companion object {
        fun notRun(code: String, message: String, retryAfter: Duration? = null) =
            BookingReply(Execution.NOT_RUN, code = code, message = message, retryAfter = retryAfter)

        fun unknown(code: String, message: String) = BookingReply(Execution.UNKNOWN, code = code, message = message)
    }
}
