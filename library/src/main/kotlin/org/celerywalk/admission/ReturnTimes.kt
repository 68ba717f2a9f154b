package org.celerywalk.admission

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Retry times of refused requests.
 *
 * Each refused request gets its turn after those that were refused before it, at the rate at which this gateway admits
 * work, so that the callers return as capacity becomes free. Thread-safe.
 */
public class ReturnTimes(private val timeSource: TimeSource.WithComparableMarks, private val random: Random) {
    private val admittedWork = DecayingTotals<Unit>(timeSource, HALF_LIFE)
    private var nextTurn = timeSource.markNow()

    /** Records that a request with [work] is admitted. */
    @Synchronized
    public fun recordAdmitted(work: Long) {
        admittedWork.add(Unit, work.toDouble())
    }

    /** Returns the time after which a request with [work] may return if room is expected after [timeToRoom]. */
    @Synchronized
    public fun next(work: Long, timeToRoom: Duration): Duration {
        val now = timeSource.markNow()
        // An exponentially decaying sum is the rate times the mean life, which is the half-life divided by ln 2.
        val workPerSecond = admittedWork.sum * LN_2 / HALF_LIFE.toDouble(DurationUnit.SECONDS)
        val turnLength = (work / workPerSecond.coerceAtLeast(MIN_WORK_PER_SECOND)).seconds
        val turn = maxOf(nextTurn - now, timeToRoom, MIN_TIME)
        nextTurn = now + minOf(turn + turnLength, MAX_TIME)
        val spread = maxOf(turnLength, turn * SPREAD)
        return minOf(turn, MAX_TIME) + minOf(spread, MAX_TIME) * random.nextDouble()
    }

    private companion object {
        val HALF_LIFE = 2.seconds
        const val LN_2 = 0.693

        // Assumed until requests are admitted: a hundredth of the prefill speed of one replica.
        const val MIN_WORK_PER_SECOND = 200.0
        val MIN_TIME = 100.milliseconds

        // Callers give up long before; the estimate says nothing about a later time.
        val MAX_TIME = 4.seconds
        const val SPREAD = 0.25
    }
}
