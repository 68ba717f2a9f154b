package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Retry budget of one process for one service: limits retries to a fraction of the requests.
 *
 * Within any time of length [window] it allows [ratio] times the number of requests plus the current [allowance] of
 * retries. Thread-safe.
 */
public class RetryBudget(
    private val timeSource: TimeSource.WithComparableMarks,
    private val window: Duration,
    private val ratio: Double,
    private val allowance: () -> Int,
) {
    private val requests = ArrayDeque<ComparableTimeMark>()
    private val retries = ArrayDeque<ComparableTimeMark>()

    /** Counts a caller's request, which raises the budget by [ratio]. */
    @Synchronized
    public fun recordRequest() {
        requests.addLast(timeSource.markNow())
        expire(requests)
    }

    /** True if the budget has a retry left, which another thread may take. */
    public val hasRetry: Boolean
        @Synchronized get() = isWithinBudget(budgetFraction = 1.0)

    /** True if the budget has an optional retry left, which another thread may take. */
    public val hasOptionalRetry: Boolean
        @Synchronized get() = isWithinBudget(OPTIONAL_BUDGET_FRACTION)

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    @Synchronized
    public fun tryRetry(): Boolean = tryRetry(budgetFraction = 1.0)

    /**
     * Takes one optional retry, such as the relocation of a running stream; returns false if half of the budget is
     * used. The other half is reserved for requests that have failed.
     */
    @Synchronized
    public fun tryOptionalRetry(): Boolean = tryRetry(OPTIONAL_BUDGET_FRACTION)

    private fun tryRetry(budgetFraction: Double): Boolean =
        isWithinBudget(budgetFraction).also { if (it) retries.addLast(timeSource.markNow()) }

    private fun isWithinBudget(budgetFraction: Double): Boolean {
        expire(requests)
        expire(retries)
        return retries.size + 1 <= budgetFraction * (allowance() + ratio * requests.size)
    }

    private fun expire(timeMarks: ArrayDeque<ComparableTimeMark>) {
        while (timeMarks.isNotEmpty() && timeMarks.first().elapsedNow() > window) timeMarks.removeFirst()
    }

    private companion object {
        /** Fraction of the budget that optional retries may use. */
        const val OPTIONAL_BUDGET_FRACTION = 0.5
    }
}
