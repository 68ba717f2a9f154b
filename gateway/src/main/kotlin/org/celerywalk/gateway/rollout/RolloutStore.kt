package org.celerywalk.gateway.rollout

import arrow.core.Either
import arrow.core.flatMap
import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.platform.wire.RowWrite
import org.celerywalk.platform.wire.WriteOutcome
import org.celerywalk.rollout.RolloutRow
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rows of the roll-outs by service, with the version of each.
 *
 * @property clockMillis reading of the store's clock in milliseconds.
 */
internal class StoredRollouts(val rows: Map<String, RolloutRow>, val versions: Map<String, Long>, val clockMillis: Long)

/** Reads and writes the rows of the roll-outs in the platform's store. */
internal class RolloutStore(private val table: PlatformTable) {
    /** Reads all rows. A row that is unreadable is left out; its version is known, so that it can be replaced. */
    fun read(): Either<CallError, StoredRollouts> =
        table.read(RolloutDocument.STATE_TABLE, CALL_TIMEOUT).map { reading ->
            val rows = reading.rows.mapNotNull { row ->
                RolloutDocument.decodeRow(row.key, row.value)?.let { row.key to it }
            }
            val versions = reading.rows.associate { it.key to it.version }
            StoredRollouts(rows.toMap(), versions, reading.storeClockMillis)
        }

    /**
     * Replaces the row of [service] in [stored] by [row], together with its status if that changes. Neither is written
     * if another gateway has written one of them meanwhile.
     */
    fun write(service: String, row: RolloutRow, stored: StoredRollouts): Either<CallError, WriteOutcome> {
        val stateWrite = RowWrite(
            RolloutDocument.STATE_TABLE,
            service,
            RolloutDocument.encodeRow(row),
            stored.versions[service] ?: 0,
        )
        val state = row.current
        val before = stored.rows[service]?.current
        val isStatusNew = state != null && (
            before == null || !before.order.isSameAs(state.order) ||
                RolloutDocument.statusName(before.phase) != RolloutDocument.statusName(state.phase)
            )
        if (!isStatusNew || state == null) return table.write(stateWrite, CALL_TIMEOUT)
        val key = RolloutDocument.KEY_PREFIX + service
        return table.read(RolloutDocument.STATUS_TABLE, CALL_TIMEOUT).flatMap { reading ->
            val version = reading.rows.find { it.key == key }?.version ?: 0
            val status = RowWrite(RolloutDocument.STATUS_TABLE, key, RolloutDocument.encodeStatus(state), version)
            table.write(listOf(stateWrite, status), CALL_TIMEOUT)
        }
    }

    private companion object {
        val CALL_TIMEOUT = 900.milliseconds
    }
}
