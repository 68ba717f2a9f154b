package org.celerywalk.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Compares the times to first token of one model replica with the expected ones, as a geometric moving average.
 *
 * The average returns to 1 while no sample arrives, so that a replica that gets no requests because it was slow is
 * tried again. This class is thread-safe.
 */
public class FirstTokenPace(private val timeSource: TimeSource.WithComparableMarks) {
    private var logarithm = 0.0
    private var updatedAt: ComparableTimeMark? = null

    /** Factor by which times to first token lately exceed the expected ones. */
    public val slowdown: Double
        @Synchronized get() =
            if (updatedAt == null) 1.0 else exp(decayedLogarithm()).coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN)

    /**
     * Records that a generation got its first token after [observed], and was expected to get it after [expected].
     *
     * The expectation must not include [slowdown], which would otherwise count twice.
     */
    @Synchronized
    public fun record(observed: Duration, expected: Duration) {
        val ratio = (observed + RATIO_OFFSET) / (expected + RATIO_OFFSET)
        val current = decayedLogarithm()
        logarithm = current + (ln(ratio.coerceIn(MIN_RATIO, MAX_RATIO)) - current) * SMOOTHING_FACTOR
        updatedAt = timeSource.markNow()
    }

    private fun decayedLogarithm(): Double =
        updatedAt?.let { logarithm * HALF.pow(it.elapsedNow() / HALF_LIFE) } ?: 0.0

    private companion object {
        const val SMOOTHING_FACTOR = 0.15
        const val HALF = 0.5

        // One sample must not outweigh the others.
        const val MIN_RATIO = 0.25
        const val MAX_RATIO = 8.0
        const val MIN_SLOWDOWN = 0.7
        const val MAX_SLOWDOWN = 4.0

        // Keeps the ratio of two short times from being dominated by the network and the decode step in progress.
        val RATIO_OFFSET = 50.milliseconds

        // A replica that was slow gets a few requests again within a few seconds.
        val HALF_LIFE = 2.seconds
    }
}
