package org.celerywalk.gateway.store

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import org.celerywalk.platform.wire.StoredRow
import org.celerywalk.quarantine.CrashAges
import org.celerywalk.quarantine.PartEvidence
import org.celerywalk.routing.ResponsibleInstance
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the quarantined prompt parts in the platform's table, so that they outlast a restart of all gateways.
 *
 * The table is read once, at the start; later changes come from the other gateways. One gateway writes each part. If
 * the store comes back from an older copy, the table is read again to see which parts have to be written or removed,
 * and which ones only a peer has quarantined.
 *
 * @param reachablePeers names of the other gateways that this gateway hears from.
 */
internal class QuarantineSync(
    private val state: FleetState,
    private val table: PlatformTable,
    private val log: EventLog,
    private val reachablePeers: () -> Set<String>,
) : AutoCloseable {
    private class StoreClock(private val millis: Long, private val readAt: ComparableTimeMark) {
        fun nowMillis(): Long = millis + readAt.elapsedNow().inWholeMilliseconds
    }

    /** What the table holds, as this gateway has read or written it. */
    private class StoredParts {
        var clock: StoreClock? = null

        /** Crashes in the row of each part. */
        val crashes = HashMap<String, Set<String>>()
    }

    /** Parts that this gateway has had in quarantine or read in the table, the latest [MAX_KNOWN_PARTS]. */
    private class KnownParts {
        private val parts = LinkedHashSet<String>()

        operator fun contains(part: String): Boolean = part in parts

        fun add(names: Set<String>) {
            parts += names
            if (parts.size > MAX_KNOWN_PARTS) parts -= parts.take(parts.size - MAX_KNOWN_PARTS).toSet()
        }
    }

    private val stored by table.era.scoped { StoredParts() }

    // The copy may be older than what this gateway knows of them.
    private val knownParts = KnownParts()
    private val task = PeriodicTask("quarantine", INTERVAL, log, ::synchronise)

    fun start() {
        task.start()
    }

    override fun close() {
        task.close()
    }

    private fun synchronise() {
        val stored = stored
        val clock = stored.clock ?: readRows(stored) ?: return
        val quarantined = state.quarantine.quarantinedParts
        knownParts.add(quarantined.keys)
        quarantined.filter { (part, evidence) -> stored.crashes[part] != evidence.crashes.keys && isWriter(part) }
            .forEach { (part, evidence) -> write(part, evidence, clock.nowMillis(), stored) }
        stored.crashes.keys.filter { it !in quarantined && isWriter(it) }.forEach { remove(it, stored) }
    }

    private fun readRows(stored: StoredParts): StoreClock? = table.read(TABLE, CALL_TIMEOUT).fold(
        {
            logFailure("quarantine_unread", it)
            null
        },
        { reading ->
            val evidence = reading.rows.mapNotNull { row -> decode(row, reading.storeClockMillis) }.toMap()
            evidence.forEach { (part, partEvidence) -> stored.crashes[part] = partEvidence.crashes.keys }
            merge(evidence.filterKeys { it !in knownParts })
            StoreClock(reading.storeClockMillis, state.timeSource.markNow()).also { stored.clock = it }
        },
    )

    private fun merge(evidence: Map<String, PartEvidence>) {
        knownParts.add(evidence.keys)
        state.quarantine.merge(evidence).forEach { log.write("part_quarantined", "part" to it, "peer" to "store") }
    }

    private fun write(part: String, evidence: PartEvidence, nowMillis: Long, stored: StoredParts) {
        val value = evidence.crashes
            .map { (endpointStart, ages) -> "$endpointStart ${nowMillis - ages.sinceLoss.inWholeMilliseconds}" }
            .joinToString("\n").toByteArray()
        table.write(RowWrite(TABLE, part, value, null), CALL_TIMEOUT).fold(
            { logFailure("quarantine_unwritten", it) },
            { stored.crashes[part] = evidence.crashes.keys },
        )
    }

    private fun remove(part: String, stored: StoredParts) {
        table.remove(TABLE, part, CALL_TIMEOUT).fold(
            { logFailure("quarantine_unwritten", it) },
            { stored.crashes -= part },
        )
    }

    private fun logFailure(event: String, error: CallError) =
        log.write(event, "step" to error.step, "peer" to error.peer, "cause" to error.message)

    // Each line of a row holds the start of an endpoint and the time of its crash in milliseconds of the store's clock.
    // The crashes of a row are separate.
    private fun decode(row: StoredRow, nowMillis: Long): Pair<String, PartEvidence>? {
        val crashes = row.value.decodeToString().lines().map { line ->
            line.substringBeforeLast(' ') to line.substringAfterLast(' ').toLongOrNull()
        }
        if (crashes.any { (_, millis) -> millis == null }) {
            log.writeUnreadable(row)
            return null
        }
        val crashAges = crashes.associate { (endpointStart, millis) ->
            endpointStart to CrashAges((nowMillis - checkNotNull(millis)).coerceAtLeast(0).milliseconds)
        }
        return row.key to PartEvidence(crashAges)
    }

    private fun isWriter(part: String) =
        ResponsibleInstance.isResponsible(state.settings.instance, part, reachablePeers())

    private companion object {
        const val TABLE = "quarantine"

        // A part that is cleared within this time is never written.
        val INTERVAL = 1.seconds

        // Several times the number of parts of which a gateway keeps evidence.
        const val MAX_KNOWN_PARTS = 2048
        val CALL_TIMEOUT = 900.milliseconds
    }
}
