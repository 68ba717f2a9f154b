package org.celerywalk.admission

import kotlin.time.Duration

/** Decision about an [AdmissionRequest]. */
public sealed interface Admission {
    /**
     * The request is sent to a replica now.
     *
     * @property isLate true if it is expected to miss its latency target and is sent because of its rank.
     */
    public data class Admitted(val isLate: Boolean) : Admission

    /** The request waits for room. */
    public data object Waiting : Admission

    /** The request is not sent; its caller may retry after [retryAfter]. */
    public data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Admission
}

/** Reason why a request is refused. */
public enum class RefusalReason {
    /** No replica can start the request by its latest start. */
    NO_ROOM,

    /** More urgent requests, or accounts with less service, take all the room that is expected in time. */
    OTHERS_FIRST,

    /** The queue is full of requests that come first. */
    QUEUE_FULL,

    /** The request waited as long as allowed. */
    WAITED_TOO_LONG,
}
