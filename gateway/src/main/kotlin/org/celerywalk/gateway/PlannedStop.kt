package org.celerywalk.gateway

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Phases of a planned stop: requests are served at first, refused once [refuseAfter] has passed, and ended with a final
 * response once [endAfter] has passed. Safe for use from several threads.
 */
internal class PlannedStop(
    private val timeSource: TimeSource.WithComparableMarks,
    private val refuseAfter: Duration,
    private val endAfter: Duration,
) {
    @Volatile
    private var begunAt: ComparableTimeMark? = null

    /** True once the process was told to stop; each response then closes its connection. */
    val hasBegun: Boolean get() = begunAt != null

    /** True once new requests are refused, since the load balancer no longer sends any. */
    val isRefusing: Boolean get() = begunAt?.let { it.elapsedNow() >= refuseAfter } ?: false

    /** Time in which a request can still be completed, infinite as long as the process was not told to stop. */
    val timeLeft: Duration
        get() = begunAt?.let { (endAfter - it.elapsedNow()).coerceAtLeast(Duration.ZERO) } ?: Duration.INFINITE

    /** Begins the stop; later calls have no effect. */
    fun begin() {
        if (begunAt == null) begunAt = timeSource.markNow()
    }
}
