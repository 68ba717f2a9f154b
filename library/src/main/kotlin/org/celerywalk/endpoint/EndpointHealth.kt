package org.celerywalk.endpoint

import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Judges one endpoint by the outcome of the calls to it, whatever its health check says.
 *
 * A moving average of failures above [EJECT_ABOVE] ejects the endpoint for a while, twice as long each time until calls
 * succeed again. Safe for use from several threads.
 *
 * @param ejectFor time of the first ejection.
 */
public class EndpointHealth(private val timeSource: TimeSource.WithComparableMarks, private val ejectFor: Duration) {
    private var failures = 0.0
    private var errors = 0.0
    private var ejections = 0
    private var readmittedAt: ComparableTimeMark? = null

    /** True while no new work should be sent. */
    public val ejected: Boolean
        @Synchronized get() = readmittedAt?.hasNotPassedNow() ?: false

    /** Recent share of answers that report an error of the application, 0 to 1. */
    public val errorShare: Double
        @Synchronized get() = errors

    /** Records an answer; [error] is true if it reports an error of the application. */
    @Synchronized
    public fun answered(error: Boolean) {
        failures *= 1 - SMOOTHING
        if (failures < RECOVERED_BELOW) ejections = 0
        errors += SMOOTHING * ((if (error) 1.0 else 0.0) - errors)
    }

    /** Records a call that got no answer, and returns true if it ejected the endpoint. */
    @Synchronized
    public fun failed(): Boolean {
        failures += SMOOTHING * (1 - failures)
        return eject()
    }

    /** Records that another start answers at the endpoint's address, and returns true if it ejected the endpoint. */
    @Synchronized
    public fun replaced(): Boolean {
        failures = 1.0
        return eject()
    }

    private fun eject(): Boolean {
        val ejects = failures > EJECT_ABOVE && !(readmittedAt?.hasNotPassedNow() ?: false)
        if (ejects) {
            val doublings = min(ejections, MAX_DOUBLINGS)
            readmittedAt = timeSource.markNow() + ejectFor * (1 shl doublings)
            ejections++
            failures = EJECT_ABOVE
        }
        return ejects
    }

    private companion object {
        // Weight of the newest call in the moving averages: about the last four calls count.
        const val SMOOTHING = 0.25

        // Two failures in a row, or two of the last three calls.
        const val EJECT_ABOVE = 0.4
        const val RECOVERED_BELOW = 0.1

        // The longest ejection is eight times the first one.
        const val MAX_DOUBLINGS = 3
    }
}
