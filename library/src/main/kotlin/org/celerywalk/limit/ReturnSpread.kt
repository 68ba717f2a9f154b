package org.celerywalk.limit

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tells refused callers when to return, so that they come back at the rate at which calls end. Not thread-safe. */
internal class ReturnSpread(private val timeSource: TimeSource.WithComparableMarks, private val random: Random) {
    private var nextReturn: ComparableTimeMark = timeSource.markNow()

    /** Returns the time until the return of the next refused caller if a call ends every [releaseInterval]. */
    fun next(releaseInterval: Duration): Duration {
        val now = timeSource.markNow()
        nextReturn = minOf(maxOf(nextReturn, now + MIN_WAIT) + releaseInterval * RETURN_INTERVALS, now + MAX_WAIT)
        val wait = nextReturn - now
        return (wait * (1 - SPREAD * random.nextDouble())).coerceAtLeast(MIN_WAIT)
    }

    private companion object {
        // Refused callers get half of the capacity; the other half is for new calls.
        const val RETURN_INTERVALS = 2
        const val SPREAD = 0.5
        val MIN_WAIT = 100.milliseconds
        val MAX_WAIT = 3.seconds
    }
}
