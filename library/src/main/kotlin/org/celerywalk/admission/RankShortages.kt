package org.celerywalk.admission

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Remembers which ranks have lately lacked room. Not thread-safe. */
internal class RankShortages(private val timeSource: TimeSource.WithComparableMarks) {
    private val lastShortages = arrayOfNulls<ComparableTimeMark>(RANKS)
    private val lastWithinShare = arrayOfNulls<ComparableTimeMark>(RANKS)

    /** Records that a request of [rank] found no room; [isWithinShare] is true if its account is within its share. */
    fun record(rank: Int, isWithinShare: Boolean) {
        lastShortages[index(rank)] = timeSource.markNow()
        if (isWithinShare) lastWithinShare[index(rank)] = timeSource.markNow()
    }

    /** Returns true if a more urgent rank than [rank] lacks room. */
    fun isMoreUrgentShort(rank: Int): Boolean = (0 until index(rank)).any { isRecent(lastShortages[it]) }

    /** Returns true if accounts within their share lack room for requests of [rank]. */
    fun isShareShort(rank: Int): Boolean = isRecent(lastWithinShare[index(rank)])

    private fun isRecent(mark: ComparableTimeMark?) = mark != null && mark.elapsedNow() < SHORTAGE_TIME

    private fun index(rank: Int) = rank.coerceIn(0, RANKS - 1)

    private companion object {
        const val RANKS = 10

        // Requests that fill the replicas arrive many times within this time, also at one of many gateways.
        val SHORTAGE_TIME = 100.milliseconds
    }
}
