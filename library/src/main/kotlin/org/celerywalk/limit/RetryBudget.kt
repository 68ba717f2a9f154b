package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Limits the repeated sends of one process to a share of the requests that it saw for the service.
 *
 * Every window of [window] allows [ratio] of the requests plus the current [allowance].
 * Safe for use from several threads.
 */
public class RetryBudget(
    private val timeSource: TimeSource.WithComparableMarks,
    private val window: Duration,
    private val ratio: Double,
    private val allowance: () -> Int,
) {
    private val requests = ArrayDeque<ComparableTimeMark>()
    private val repeats = ArrayDeque<ComparableTimeMark>()

    /** Counts a request of a caller. */
    @Synchronized
    public fun requested() {
        requests.addLast(timeSource.markNow())
        expire(requests)
    }

    /** Takes one repeated send; false if the budget is spent. */
    @Synchronized
    public fun tryRepeat(): Boolean = tryRepeat(shareUsed = 1.0)

    /**
     * Takes one repeated send that could be done without; false if half of the budget is spent. The rest is left for
     * requests that have failed.
     */
    @Synchronized
    public fun tryOptionalRepeat(): Boolean = tryRepeat(OPTIONAL_SHARE)

    private fun tryRepeat(shareUsed: Double): Boolean {
        expire(requests)
        expire(repeats)
        val allowed = repeats.size + 1 <= shareUsed * (allowance() + ratio * requests.size)
        if (allowed) repeats.addLast(timeSource.markNow())
        return allowed
    }

    private fun expire(marks: ArrayDeque<ComparableTimeMark>) {
        while (marks.isNotEmpty() && marks.first().elapsedNow() > window) marks.removeFirst()
    }

    private companion object {
        const val OPTIONAL_SHARE = 0.5
    }
}
