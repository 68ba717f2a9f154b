package org.celerywalk.rollout

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Logarithmic histogram of the response times of old replicas on one route. Used by one thread at a time. */
public class ResponseTimes {
    private val counts = LongArray(BUCKETS)
    private var total = 0L

    /**
     * Time above which a response counts as slow: three times the 90th percentile, or infinite while there are too few
     * times to tell.
     */
    public var slowThreshold: Duration = Duration.INFINITE
        private set

    /** Records a response that took [time]. */
    public fun record(time: Duration) {
        val millis = maxOf(time.toDouble(DurationUnit.MILLISECONDS), 1.0)
        counts[ceil(ln(millis) / ln(GROWTH)).toInt().coerceAtMost(BUCKETS - 1)]++
        total++
        if (total >= MIN_TIMES) slowThreshold = percentile() * SLOW_FACTOR
    }

    private fun percentile(): Duration {
        val rank = total * PERCENTILE
        var count = 0L
        val bucket = counts.indices.first { index ->
            count += counts[index]
            count >= rank
        }
        return GROWTH.pow(bucket).milliseconds
    }

    private companion object {
        // Buckets grow by 20 % and reach up to 6 minutes.
        const val GROWTH = 1.2
        const val BUCKETS = 72
        const val PERCENTILE = 0.9
        const val SLOW_FACTOR = 3
        const val MIN_TIMES = 20
    }
}
