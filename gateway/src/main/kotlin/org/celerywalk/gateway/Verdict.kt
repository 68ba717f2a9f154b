package org.celerywalk.gateway

import kotlin.time.Duration

/** Says how a send to an endpoint ended. */
internal sealed interface Verdict {
    /** The answer was passed on to its end. */
    data object Answered : Verdict

    /** The request has not run at this endpoint; [arrived] is false if nothing was sent. */
    data class NotRun(val reason: String, val arrived: Boolean) : Verdict

    /** The request may have run; an answer, if any, is not whole. */
    data class Lost(val reason: String) : Verdict

    /** The stream was ended in order to go on at another endpoint. */
    data object Relocated : Verdict

    /** The endpoint ran the request and reports an error. */
    class Failed(val answer: WholeEndpointAnswer) : Verdict

    /** No endpoint can serve the request in time. */
    data class Unplaced(val reason: String, val retryAfter: Duration) : Verdict

    /** The request ended before. */
    data object Cut : Verdict

    /** True if the endpoint may have run the request. */
    val mayHaveRun: Boolean get() = this is Answered || this is Lost || this is Failed || this is Relocated

    /** True if the endpoint gave no usable sign of life. */
    val unreachable: Boolean get() = this is Lost || (this is NotRun && !arrived)
}
