package org.celerywalk.limit

import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Circuit breaker for calls to one dependency.
 *
 * After [failuresToOpen] consecutive timeouts or connection failures it opens and refuses calls for [openDuration].
 * Then it is half-open and allows one probe call at a time until one is answered. A refusal by the dependency is an
 * answer and does not count as a failure. Thread-safe.
 */
public class CircuitBreaker(
    private val timeSource: TimeSource,
    private val failuresToOpen: Int,
    private val openDuration: Duration,
) {
    private var consecutiveFailures = 0
    private var openedAt: TimeMark? = null
    private var isProbing = false

    /** Returns true if a call may be made; its result must then be reported to [recordResult]. */
    @Synchronized
    public fun tryCall(): Boolean {
        val openSince = openedAt ?: return true
        val isProbe = !isProbing && openSince.elapsedNow() >= openDuration
        if (isProbe) isProbing = true
        return isProbe
    }

    /** Records the end of a call. [isAnswer] is false after a timeout or a connection failure. */
    @Synchronized
    public fun recordResult(isAnswer: Boolean) {
        isProbing = false
        consecutiveFailures = if (isAnswer) 0 else consecutiveFailures + 1
        openedAt = if (consecutiveFailures >= failuresToOpen) timeSource.markNow() else null
    }
}
