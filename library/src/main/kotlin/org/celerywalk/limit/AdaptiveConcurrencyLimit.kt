package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits the calls in flight at one endpoint to its measured capacity. Thread-safe.
 *
 * A rejection lowers the limit at once. Otherwise, windows of answered calls are compared with the mean duration at the
 * endpoint while it is not overloaded: if the calls of a window took longer, the limit falls in proportion to the
 * gradient; if they did not and used the whole limit, it rises by one call.
 *
 * @param slots number of calls that the endpoint says it runs at once; the initial limit, at least 1.
 */
public class AdaptiveConcurrencyLimit(
    private val timeSource: TimeSource.WithComparableMarks,
    private val slots: Int,
) {
    private class Window(val startedAt: ComparableTimeMark) {
        var samples = 0
        var total = Duration.ZERO
        var peakInFlight = 0
        var hasRejection = false
    }

    private var current = slots.toDouble()
    private var baseline: Duration? = null
    private var window = Window(timeSource.markNow())
    private var rejectedAt: ComparableTimeMark? = null

    /** Maximum number of calls in flight of all gateways together, at least 1. */
    public val limit: Int
        @Synchronized get() = current.toInt().coerceAtLeast(1)

    /**
     * Records the end of a call.
     *
     * @param duration time from the send to the complete answer.
     * @param inFlight calls at the endpoint when the call was sent, itself included.
     * @param wasRejected true if the endpoint refused the call because it was full; [duration] is then ignored.
     */
    @Synchronized
    public fun recordSample(duration: Duration, inFlight: Int, wasRejected: Boolean) {
        window.peakInFlight = maxOf(window.peakInFlight, inFlight)
        if (wasRejected) {
            recordRejection()
        } else {
            window.samples++
            window.total += duration
        }
        val age = window.startedAt.elapsedNow()
        if (age >= MAX_WINDOW || age >= MIN_WINDOW && window.samples >= MIN_SAMPLES) closeWindow()
    }

    private fun recordRejection() {
        window.hasRejection = true
        val lastRejection = rejectedAt
        // Calls that were sent together are rejected together, which shows only one excess.
        if (lastRejection != null && lastRejection.elapsedNow() < REJECTION_INTERVAL) return
        rejectedAt = timeSource.markNow()
        current = (current * REJECTION_FACTOR).coerceAtLeast(1.0)
    }

    private fun closeWindow() {
        val closed = window
        window = Window(timeSource.markNow())
        val gradient = if (closed.samples >= MIN_SAMPLES) updateGradient(closed.total / closed.samples) else 1.0
        val isUsed = closed.peakInFlight + 1 >= current.toInt()
        val latencyFloor = minOf(current, (slots * LATENCY_FLOOR_SHARE).coerceAtLeast(1.0))
        current = when {
            closed.hasRejection -> current
            gradient < 1 -> (current * (1 + (gradient - 1) * GRADIENT_GAIN)).coerceAtLeast(latencyFloor)
            isUsed -> minOf(current + 1, maxLimit().coerceAtLeast(current))
            else -> current
        }
    }

    // Returns less than 1 if calls take longer than the tolerated multiple of the baseline.
    private fun updateGradient(mean: Duration): Double {
        val previous = baseline ?: mean
        val drift = if (mean < previous) FALLING_DRIFT else RISING_DRIFT
        val next = previous + (mean - previous) * drift
        baseline = next
        return if (mean > next * TOLERANCE) next * TOLERANCE / mean else 1.0
    }

    // An endpoint that has lately rejected calls gets no more than its slots; another one may have room for calls that
    // are still on their way.
    private fun maxLimit(): Double {
        val hasRejected = rejectedAt?.let { it.elapsedNow() < REJECTION_MEMORY } ?: false
        return if (hasRejected) slots.toDouble() else slots + maxOf(1.0, slots * HEADROOM_SHARE)
    }

    private companion object {
        const val MIN_SAMPLES = 8
        val MIN_WINDOW = 100.milliseconds

        // At low rates a window ends with few samples, so that a lowered limit rises again.
        val MAX_WINDOW = 500.milliseconds

        // About one round trip to an endpoint and the time in which gateways hear of each other's calls.
        val REJECTION_INTERVAL = 100.milliseconds
        val REJECTION_MEMORY = 10.seconds
        const val REJECTION_FACTOR = 0.9

        // Service times between 20 and 90 ms spread the mean of a window by about 15 %.
        const val TOLERANCE = 1.5
        const val GRADIENT_GAIN = 0.5

        // The baseline follows faster calls at once; a lasting slowdown becomes the baseline within some seconds.
        const val FALLING_DRIFT = 0.5
        const val RISING_DRIFT = 0.02

        // If a slowdown has another cause than the endpoint's queue, fewer calls only cost capacity.
        const val LATENCY_FLOOR_SHARE = 0.5
        const val HEADROOM_SHARE = 0.2
    }
}
