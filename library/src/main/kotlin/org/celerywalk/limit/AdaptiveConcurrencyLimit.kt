package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Limits the calls in flight at one endpoint to its measured capacity. Thread-safe.
 *
 * Works on windows of ended calls. If a considerable share was rejected, the limit falls. Otherwise, the mean duration
 * is compared with that of earlier windows: if the calls took longer, the limit falls in proportion to the gradient; if
 * they did not and used the whole limit, it rises by one call.
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
        var rejections = 0
    }

    private val minLimit = (slots * FLOOR_SHARE).coerceAtLeast(1.0)
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
            window.rejections++
            rejectedAt = timeSource.markNow()
        } else {
            window.samples++
            window.total += duration
        }
        val age = window.startedAt.elapsedNow()
        val isLarge = window.samples + window.rejections >= MIN_SAMPLES
        if (age >= MAX_WINDOW || age >= MIN_WINDOW && isLarge) closeWindow()
    }

    private fun closeWindow() {
        val closed = window
        window = Window(timeSource.markNow())
        val gradient = if (closed.samples >= MIN_SAMPLES) updateGradient(closed.total / closed.samples) else 1.0
        val isUsed = closed.peakInFlight + 1 >= current.toInt()
        val rejectedShare = closed.rejections.toDouble() / (closed.rejections + closed.samples)
        current = when {
            rejectedShare > FULL_SHARE -> (current * FULL_FACTOR).coerceAtLeast(1.0)
            rejectedShare > EXCESS_SHARE -> (current - EXCESS_STEP).coerceAtLeast(minOf(current, minLimit))
            gradient < 1 -> (current * (1 + (gradient - 1) * GRADIENT_GAIN)).coerceAtLeast(minOf(current, minLimit))
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
        return if (hasRejected) slots.toDouble() else slots * (1 + HEADROOM_SHARE)
    }

    private companion object {
        const val MIN_SAMPLES = 8
        val MIN_WINDOW = 100.milliseconds

        // At low rates a window ends with few samples, so that a lowered limit rises again.
        val MAX_WINDOW = 500.milliseconds

        val REJECTION_MEMORY = 10.seconds

        // An endpoint that rejects most calls has lost slots.
        const val FULL_SHARE = 0.5
        const val FULL_FACTOR = 0.5

        // Gateways that hear of each other's calls late cause some rejections at an endpoint that has all its slots.
        const val EXCESS_SHARE = 0.15
        const val EXCESS_STEP = 0.5

        // Service times between 20 and 90 ms spread the mean of a window by about 15 %.
        const val TOLERANCE = 1.5
        const val GRADIENT_GAIN = 0.5

        // The baseline follows faster calls at once; a lasting slowdown becomes the baseline within some seconds.
        const val FALLING_DRIFT = 0.5
        const val RISING_DRIFT = 0.02

        // Share of the slots. If calls are slow or rejected for another reason than the endpoint's queue, fewer calls
        // only cost capacity.
        const val FLOOR_SHARE = 0.5
        const val HEADROOM_SHARE = 0.2
    }
}
