package org.celerywalk.endpoint

import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Semaphore of [MAX_CONCURRENT_LOADS] leases in one record that limits how many replicas load weights at once.
 *
 * Instances have no common clock. A lease of another agent therefore counts as expired only when this agent has seen it
 * unchanged for [LEASE_DURATION] and a margin on its own clock, which is never before it expires for its holder.
 */
internal class LoadingSlots(private val timeSource: TimeSource) {
    private val firstSeenAt = HashMap<String, TimeMark>()

    /** Returns the unexpired [leases] and [lease], or null if no slot is free. */
    fun withLease(lease: String, leases: List<String>): List<String>? {
        firstSeenAt.keys.retainAll(leases.toSet())
        leases.forEach { firstSeenAt.getOrPut(it) { timeSource.markNow() } }
        val unexpired = leases.filter { firstSeenAt.getValue(it).elapsedNow() < LEASE_DURATION + CLOCK_RATE_MARGIN }
        return if (unexpired.size < MAX_CONCURRENT_LOADS) unexpired + lease else null
    }

    companion object {
        const val KEY = "weights/slots"
        const val MAX_CONCURRENT_LOADS = 2
        val LEASE_DURATION: Duration = 30.seconds

        // Covers clocks that run at different rates.
        private val CLOCK_RATE_MARGIN = 1.seconds

        fun parse(record: Record?): List<String> = record?.value?.split("\n")?.filter { it.isNotEmpty() }.orEmpty()

        fun condition(record: Record?): Condition =
            record?.let { Condition.VersionIs(KEY, it.version) } ?: Condition.Absent(KEY)

        fun write(leases: List<String>): Write = Write.Put(KEY, leases.joinToString("\n"))
    }
}
