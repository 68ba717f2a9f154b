package org.celerywalk.standins.table

internal data class WireRecord(val value: String, val version: Long)

internal data class WireKeyRecord(val key: String, val value: String, val version: Long)

internal data class ReadRequest(val keys: List<String>)

internal data class ReadReply(val records: Map<String, WireRecord>)

internal data class ScanRequest(val prefix: String, val after: String = "", val limit: Int)

internal data class ScanReply(val records: List<WireKeyRecord>)

internal data class WireCondition(val key: String, val absent: Boolean = false, val version: Long? = null)

internal data class WireWrite(val key: String, val value: String? = null, val delete: Boolean = false)

internal data class TransactRequest(val conditions: List<WireCondition>, val writes: List<WireWrite>)

internal data class TransactReply(val committed: Long? = null, val conflict: Map<String, WireRecord>? = null)
