package org.celerywalk.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import com.fasterxml.jackson.databind.JsonNode
import okhttp3.Request
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

/** Client of the platform's table over HTTP. The wire format is described in docs/stand-ins.md. */
public class HttpTable(private val baseUrl: String, limits: HttpLimits) : Table, AutoCloseable {
    private val caller = HttpCaller("table", limits)

    override fun read(keys: Set<String>): CompletableFuture<Either<TableError, Map<String, Record>>> {
        val body = jsonObject { putArray("keys").apply { keys.forEach(::add) } }
        return call("read", body) { records(it.requiredField("records")) }
    }

    override fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): CompletableFuture<Either<TableError, List<Pair<String, Record>>>> {
        val body = jsonObject { put("prefix", prefix).put("after", after).put("limit", limit) }
        return call("scan", body) { response ->
            response.requiredField("records").map { it.requiredField("key").asText() to record(it) }
        }
    }

    override fun transact(transaction: Transaction): CompletableFuture<Either<TableError, TransactionResult>> =
        call("transact", transaction.toJson()) { response ->
            val committed = response.get("committed")?.takeUnless { it.isNull }
            if (committed != null) {
                TransactionResult.Committed(committed.asLong())
            } else {
                TransactionResult.Conflict(records(response.requiredField("conflict")))
            }
        }

    override fun close() {
        caller.close()
    }

    private fun <T> call(
        step: String,
        body: JsonNode,
        read: (JsonNode) -> T,
    ): CompletableFuture<Either<TableError, T>> {
        val request = Request.Builder().url("$baseUrl/v1/$step").post(body.toBody())
        return caller.call(request).thenApply { result ->
            result.mapLeft { it.toTableError("$step table records", baseUrl) }
                .flatMap { it.read("$step table records", baseUrl, read) }
        }
    }

    private fun records(node: JsonNode): Map<String, Record> =
        node.properties().associate { (key, value) -> key to record(value) }

    private fun record(node: JsonNode) =
        Record(node.requiredField("value").asText(), node.requiredField("version").asLong())
}

private fun Transaction.toJson() = jsonObject {
    putArray("conditions").apply {
        conditions.forEach { condition ->
            val node = addObject().put("key", condition.key)
            when (condition) {
                is Condition.Absent -> node.put("absent", true)
                is Condition.VersionIs -> node.put("version", condition.version)
            }
        }
    }
    putArray("writes").apply {
        writes.forEach { write ->
            val node = addObject().put("key", write.key)
            when (write) {
                is Write.Put -> node.put("value", write.value)
                is Write.Delete -> node.put("delete", true)
            }
        }
    }
}

/** Classifies a call without a response: only a request that was not sent has certainly not been applied. */
internal fun HttpFailure.toTableError(step: String, peer: String): TableError =
    if (mayBeSent) TableError.OutcomeUnknown(step, peer, message) else TableError.NotApplied(step, peer, message)

/**
 * Reads the response of a platform service with [read].
 *
 * An error response counts as not applied only if it says so in the field `not_applied`, else as of unknown outcome.
 */
internal fun <T> BufferedHttpResponse.read(step: String, peer: String, read: (JsonNode) -> T): Either<TableError, T> {
    if (status == STATUS_OK) return parseJson(body, read).mapLeft { TableError.OutcomeUnknown(step, peer, it) }
    val isNotApplied = parseJson(body) { it.path("not_applied").asBoolean() }.getOrNull() == true
    val message = "HTTP status $status, expected $STATUS_OK"
    val error = if (isNotApplied) {
        TableError.NotApplied(step, peer, message)
    } else {
        TableError.OutcomeUnknown(step, peer, message)
    }
    return error.left()
}

internal const val STATUS_OK = 200
