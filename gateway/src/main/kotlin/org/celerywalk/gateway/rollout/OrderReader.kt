package org.celerywalk.gateway.rollout

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.store.writeUnreadable
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.platform.wire.StoredRow
import org.celerywalk.rollout.OrderId

/** Records the order in [row] of the operators' table, which was read in the store's era [era]. */
internal fun RolloutRouting.readOrder(row: StoredRow, era: Long, log: EventLog) {
    val order = RolloutDocument.decodeOrder(row.key, row.value, OrderId(era, row.version))
        ?: return log.writeUnreadable(row)
    recordOrder(order)
    log.write(
        "rollout_ordered",
        "service" to order.service,
        "to" to order.version,
        "duration" to order.duration,
        "row_version" to row.version,
    )
}
