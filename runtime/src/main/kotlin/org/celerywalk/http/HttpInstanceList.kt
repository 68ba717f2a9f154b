package org.celerywalk.http

import arrow.core.Either
import arrow.core.flatMap
import okhttp3.Request
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ListedInstance
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

/** Client of the platform's instance list over HTTP. The wire format is described in docs/stand-ins.md. */
public class HttpInstanceList(private val baseUrl: String, limits: HttpLimits) : InstanceList, AutoCloseable {
    private val caller = HttpCaller("instance-list", limits)

    override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
        caller.call(Request.Builder().url("$baseUrl/v1/instances")).thenApply { result ->
            result.mapLeft { it.toTableError(STEP, baseUrl) }.flatMap { response ->
                response.read(STEP, baseUrl) { tree ->
                    tree.requiredField("instances").map { node ->
                        ListedInstance(
                            name = node.requiredField("name").asText(),
                            role = node.requiredField("role").asText(),
                            region = node.requiredField("region").asText(),
                            dataCentre = node.requiredField("data_centre").asText(),
                            address = node.requiredField("address").asText(),
                            leaving = node.path("leaving").asBoolean(),
                        )
                    }
                }
            }
        }

    override fun close() {
        caller.close()
    }

    private companion object {
        const val STEP = "list instances"
    }
}
