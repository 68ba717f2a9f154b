package org.celerywalk.gateway.store

import org.celerywalk.gateway.EventLog
import org.celerywalk.platform.wire.StoredRow

/** Logs that [row], of another writer, was left out since it can't be decoded. */
internal fun EventLog.writeUnreadable(row: StoredRow) =
    write("row_unreadable", "table" to row.table, "key" to row.key, "row_version" to row.version)
