package org.celerywalk.instance

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential backoff with jitter: the delay doubles with each failure from [minDelay] up to [maxDelay].
 *
 * Each delay is drawn at random between half and all of its value, so that processes that restart together do not
 * retry together.
 */
public class Backoff(private val minDelay: Duration, private val maxDelay: Duration, private val random: Random) {
    /** Returns the delay after [failures] consecutive failures; 0 gives the regular interval. */
    public fun nextDelay(failures: Int): Duration {
        val fullDelay = minOf(minDelay * (1 shl failures.coerceIn(0, MAX_DOUBLINGS)), maxDelay)
        return fullDelay * (HALF + HALF * random.nextDouble())
    }

    private companion object {
        const val HALF = 0.5
        const val MAX_DOUBLINGS = 16
    }
}
