package org.celerywalk.endpoint

import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Passive health check of one endpoint with outlier ejection, by the outcome of calls and not by the endpoint's status.
 *
 * An exponential moving average of failures above [EJECTION_FAILURE_RATE] ejects the endpoint. The ejection time
 * doubles with each ejection until calls succeed again. Safe for use from several threads.
 *
 * @param baseEjectionTime duration of the first ejection.
 */
public class EndpointHealth(
    private val timeSource: TimeSource.WithComparableMarks,
    private val baseEjectionTime: Duration,
) {
    private var failureRate = 0.0
    private var applicationErrorRate = 0.0
    private var consecutiveEjections = 0
    private var ejectedUntil: ComparableTimeMark? = null
    private var wasEjectedByReport = false

    /** True while the endpoint should get no new requests. */
    public val isEjected: Boolean
        @Synchronized get() = ejectedUntil?.hasNotPassedNow() ?: false

    /**
     * True while the endpoint is ejected because of calls of this process. Only such ejections are reported to peers;
     * otherwise two reports would spread over all instances.
     */
    public val isEjectedByOwnCalls: Boolean
        @Synchronized get() = isEjected && !wasEjectedByReport

    /** Moving average of the share of answers that report an application error, 0 to 1. */
    public val errorRate: Double
        @Synchronized get() = applicationErrorRate

    /** Records an answer; [error] is true if it reports an application error, which does not count towards ejection. */
    @Synchronized
    public fun recordAnswer(error: Boolean) {
        failureRate *= 1 - SMOOTHING_FACTOR
        if (failureRate < RECOVERED_FAILURE_RATE) consecutiveEjections = 0
        applicationErrorRate += SMOOTHING_FACTOR * ((if (error) 1.0 else 0.0) - applicationErrorRate)
    }

    /** Records a call without an answer, and returns true if this ejected the endpoint. */
    @Synchronized
    public fun recordFailure(): Boolean {
        failureRate += SMOOTHING_FACTOR * (1 - failureRate)
        return ejectIfFailing(isReport = false)
    }

    /** Records that a peer has ejected the endpoint, which counts like a failure; returns true if this ejected it. */
    @Synchronized
    public fun recordPeerEjection(): Boolean {
        failureRate += SMOOTHING_FACTOR * (1 - failureRate)
        return ejectIfFailing(isReport = true)
    }

    /** Records that another process now has the endpoint's address, and returns true if this ejected the endpoint. */
    @Synchronized
    public fun recordReplacement(): Boolean {
        failureRate = 1.0
        return ejectIfFailing(isReport = false)
    }

    private fun ejectIfFailing(isReport: Boolean): Boolean {
        val shouldEject = failureRate > EJECTION_FAILURE_RATE && !(ejectedUntil?.hasNotPassedNow() ?: false)
        if (shouldEject) {
            val doublings = min(consecutiveEjections, MAX_DOUBLINGS)
            ejectedUntil = timeSource.markNow() + baseEjectionTime * (1 shl doublings)
            consecutiveEjections++
            wasEjectedByReport = isReport
            failureRate = EJECTION_FAILURE_RATE
        }
        return shouldEject
    }

    private companion object {
        // Weight of the newest call in the moving averages; about the last four calls count.
        const val SMOOTHING_FACTOR = 0.25

        // Exceeded by two failures in a row, or by two failures among the last three calls.
        const val EJECTION_FAILURE_RATE = 0.4
        const val RECOVERED_FAILURE_RATE = 0.1

        // Limits an ejection to eight times the base ejection time.
        const val MAX_DOUBLINGS = 3
    }
}
