package org.celerywalk.http

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.databind.JsonNode
import okhttp3.Request
import org.celerywalk.configuration.isAddress
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ListedInstance
import org.celerywalk.table.TableError
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture

/** Client of the platform's instance list over HTTP. The wire format is described in docs/stand-ins.md. */
public class HttpInstanceList(private val baseUrl: String, limits: HttpLimits) : InstanceList, AutoCloseable {
    private val caller = HttpCaller("instance-list", limits)

    override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
        caller.call(Request.Builder().url("$baseUrl/v1/instances")).thenApply { result ->
            result.mapLeft { it.toTableError(STEP, baseUrl) }.flatMap { response ->
                response.read(STEP, baseUrl) { tree -> tree.requiredField("instances").mapNotNull(::instanceOrNull) }
            }
        }

    // Other programs may write to the list too; their entries name no instance to call.
    private fun instanceOrNull(node: JsonNode): ListedInstance? =
        if (TEXT_FIELDS.all { node.path(it).isTextual } && isAddress(node.path("address").asText())) {
            ListedInstance(
                name = node.path("name").asText(),
                role = node.path("role").asText(),
                region = node.path("region").asText(),
                dataCentre = node.path("data_centre").asText(),
                address = node.path("address").asText(),
                leaving = node.path("leaving").asBoolean(),
            )
        } else {
            val shownName = node.path("name").asText().take(MAX_SHOWN_CHARS)
            Logger.warn("event=instance_unreadable peer={} name=\"{}\"", baseUrl, shownName)
            null
        }

    override fun close() {
        caller.close()
    }

    private companion object {
        const val STEP = "list instances"
        const val MAX_SHOWN_CHARS = 80
        val TEXT_FIELDS = listOf("name", "role", "region", "data_centre", "address")
    }
}
