package org.celerywalk.cache

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Position of this process in the events of one cache. It reads the events itself, or takes them from the reports of a
 * peer that reads them. Safe for use from several threads.
 *
 * @param maxReportAge time without a report after which this process reads the events itself.
 */
public class CacheEventCursor(
    private val timeSource: TimeSource.WithComparableMarks,
    private val maxReportAge: Duration,
) {
    private var currentEpoch: Long? = null
    private var currentSequence = 0L
    private var isBehind = true
    private var upToDateAt: ComparableTimeMark = timeSource.markNow()

    /** Epoch of the events read so far, or null if none were read. */
    public val epoch: Long?
        @Synchronized get() = currentEpoch

    /** Sequence number to read from next. */
    public val nextSequence: Long
        @Synchronized get() = currentSequence

    /** True if this process misses events and should read them, although a peer reports them. */
    public val needsRead: Boolean
        @Synchronized get() = isBehind || upToDateAt.elapsedNow() > maxReportAge

    /** Moves to the end of [events], which this process read itself; returns true if the cache has restarted. */
    @Synchronized
    public fun advance(events: CacheEvents): Boolean {
        val hasRestarted = events.epoch != currentEpoch
        currentEpoch = events.epoch
        currentSequence = if (hasRestarted) events.nextSequence else maxOf(currentSequence, events.nextSequence)
        isBehind = false
        upToDateAt = timeSource.markNow()
        return hasRestarted
    }

    /**
     * Moves to the end of the [events] that a peer reports and returns true if they are to be applied; returns false if
     * they are known already or if events before them are missing, which [needsRead] then shows.
     */
    @Synchronized
    public fun advanceByReport(events: CacheEvents): Boolean {
        isBehind = isBehind || events.epoch != currentEpoch || events.firstSequence > currentSequence || events.hasGap
        if (isBehind) return false
        upToDateAt = timeSource.markNow()
        val isNew = events.nextSequence > currentSequence
        currentSequence = maxOf(currentSequence, events.nextSequence)
        return isNew
    }
}
