package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Call that waits for room at an endpoint.
 *
 * @property rank urgency; 0 is the most urgent.
 * @property latestStart time after which the call is refused instead of started.
 */
public class QueuedCall<T>(public val rank: Int, public val latestStart: ComparableTimeMark, public val content: T) {
    internal lateinit var queuedAt: ComparableTimeMark
}

/**
 * Waiting calls of one service in the order in which they start. Not thread-safe.
 *
 * Calls start by rank, and within a rank by their latest start. While the wait stays above its target for an interval,
 * the newest call of a rank starts first and a call waits only a part of its time: what is served is then served on
 * time, instead of all of it late (controlled delay with adaptive LIFO).
 */
public class CallQueue<T>(private val timeSource: TimeSource.WithComparableMarks) {
    private val calls = ArrayList<QueuedCall<T>>()
    private var aboveTargetSince: ComparableTimeMark? = null

    /** Number of waiting calls. */
    public val size: Int get() = calls.size

    /** True while the wait has stayed above its target. */
    public val isOverloaded: Boolean
        get() = aboveTargetSince?.let { it.elapsedNow() >= OVERLOAD_INTERVAL } ?: false

    /** Returns the number of waiting calls that start before a new call of [rank] and [latestStart]. */
    public fun countAhead(rank: Int, latestStart: ComparableTimeMark): Int {
        val newestFirst = isOverloaded
        return calls.count { it.rank < rank || it.rank == rank && !newestFirst && it.latestStart <= latestStart }
    }

    /**
     * Adds [call] and returns null, or returns the call that does not wait because more than [maxSize] would: the last
     * one in the order of the queue, which may be [call].
     */
    public fun offer(call: QueuedCall<T>, maxSize: Int): QueuedCall<T>? {
        call.queuedAt = timeSource.markNow()
        calls += call
        if (calls.size <= maxSize) return null
        return calls.maxWith(order()).also { calls -= it }
    }

    /** Removes and returns the first call for which [canStart] returns true, or null if there is none. */
    public fun poll(canStart: (T) -> Boolean): QueuedCall<T>? {
        val call = calls.sortedWith(order()).firstOrNull { canStart(it.content) } ?: return null
        recordWait(call)
        remove(call)
        return call
    }

    /** Removes and returns the calls whose time to wait is over. */
    public fun expire(): List<QueuedCall<T>> {
        if (calls.isEmpty()) return emptyList()
        val share = if (isOverloaded) OVERLOAD_WAIT_SHARE else 1.0
        val expired = calls.filter { it.queuedAt.elapsedNow() >= it.maxWait * share }
        expired.forEach(::recordWait)
        expired.forEach(::remove)
        return expired
    }

    /** Removes [call], for example when its caller has left. */
    public fun remove(call: QueuedCall<T>) {
        calls -= call
        if (calls.isEmpty()) aboveTargetSince = null
    }

    private val QueuedCall<T>.maxWait: Duration get() = latestStart - queuedAt

    private fun recordWait(call: QueuedCall<T>) {
        val isAboveTarget = call.queuedAt.elapsedNow() > call.maxWait * TARGET_SHARE
        if (isAboveTarget && aboveTargetSince == null) aboveTargetSince = timeSource.markNow()
        // In the overloaded state the newest calls wait for a short time, which is no sign of its end.
        if (!isAboveTarget && !isOverloaded) aboveTargetSince = null
    }

    private fun order(): Comparator<QueuedCall<T>> {
        val byRank = compareBy<QueuedCall<T>> { it.rank }
        return if (isOverloaded) byRank.thenByDescending { it.queuedAt } else byRank.thenBy { it.latestStart }
    }

    private companion object {
        // Several service times, so that a short burst is served in order.
        val OVERLOAD_INTERVAL = 100.milliseconds

        // Shares of the time that a call may wait.
        const val TARGET_SHARE = 0.25
        const val OVERLOAD_WAIT_SHARE = 0.5
    }
}
