package org.celerywalk.gateway

import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import org.celerywalk.platform.wire.StoredRow
import org.celerywalk.quarantine.PartEvidence
import org.celerywalk.routing.ResponsibleInstance
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the quarantined prompt parts in the platform's table, so that they outlast a restart of all gateways.
 *
 * The table is read once, at the start; later changes come from the other gateways. One gateway writes each part.
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

    private val task = PeriodicTask("quarantine", INTERVAL, log, ::synchronise)
    private var storeClock: StoreClock? = null

    // Crashes in the row of each part, as this gateway has read or written them.
    private val storedCrashes = HashMap<String, Set<String>>()

    fun start() {
        task.start()
    }

    override fun close() {
        task.close()
    }

    private fun synchronise() {
        val clock = storeClock ?: readRows() ?: return
        val quarantined = state.quarantine.quarantinedParts
        quarantined.filter { (part, evidence) -> storedCrashes[part] != evidence.crashAges.keys && isWriter(part) }
            .forEach { (part, evidence) -> write(part, evidence, clock.nowMillis()) }
        storedCrashes.keys.filter { it !in quarantined && isWriter(it) }.forEach(::remove)
    }

    private fun readRows(): StoreClock? = table.read(TABLE, CALL_TIMEOUT).fold(
        {
            logFailure("quarantine_unread", it)
            null
        },
        { reading ->
            val evidence = reading.rows.mapNotNull { row -> decode(row, reading.storeClockMillis) }.toMap()
            evidence.forEach { (part, partEvidence) -> storedCrashes[part] = partEvidence.crashAges.keys }
            state.quarantine.merge(evidence).forEach { log.write("part_quarantined", "part" to it, "peer" to "store") }
            StoreClock(reading.storeClockMillis, state.timeSource.markNow()).also { storeClock = it }
        },
    )

    private fun write(part: String, evidence: PartEvidence, nowMillis: Long) {
        val value = evidence.crashAges
            .map { (endpointStart, age) -> "$endpointStart ${nowMillis - age.inWholeMilliseconds}" }
            .joinToString("\n").toByteArray()
        table.write(RowWrite(TABLE, part, value, null), CALL_TIMEOUT).fold(
            { logFailure("quarantine_unwritten", it) },
            { storedCrashes[part] = evidence.crashAges.keys },
        )
    }

    private fun remove(part: String) {
        table.remove(TABLE, part, CALL_TIMEOUT).fold(
            { logFailure("quarantine_unwritten", it) },
            { storedCrashes -= part },
        )
    }

    private fun logFailure(event: String, error: CallError) =
        log.write(event, "step" to error.step, "peer" to error.peer, "cause" to error.message)

    // Each line of a row holds the start of an endpoint and the time of its crash in milliseconds of the store's clock.
    private fun decode(row: StoredRow, nowMillis: Long): Pair<String, PartEvidence>? {
        val crashes = row.value.decodeToString().lines().map { line ->
            line.substringBeforeLast(' ') to line.substringAfterLast(' ').toLongOrNull()
        }
        if (crashes.any { (_, millis) -> millis == null }) {
            log.writeUnreadable(row)
            return null
        }
        val ages = crashes.associate { (endpointStart, millis) ->
            endpointStart to (nowMillis - checkNotNull(millis)).coerceAtLeast(0).milliseconds
        }
        return row.key to PartEvidence(ages)
    }

    private fun isWriter(part: String) =
        ResponsibleInstance.isResponsible(state.settings.instance, part, reachablePeers())

    private companion object {
        const val TABLE = "quarantine"

        // A part that is cleared within this time is never written.
        val INTERVAL = 1.seconds
        val CALL_TIMEOUT = 900.milliseconds
    }
}
