package org.celerywalk.standins

import io.javalin.http.Context
import io.javalin.http.HttpStatus
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Stand-in for the platform's object store: keeps objects in memory and can be set to refuse every call with 503. */
public class ObjectStoreStandIn(port: Int = 0) : StandIn {
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val isUnavailable = AtomicBoolean()
    private val server = startServer(port) { config ->
        config.routes.get("/v1/objects/<name>") { ctx -> serve(ctx, ::getObject) }
        config.routes.put("/v1/objects/<name>") { ctx -> serve(ctx, ::putObject) }
        config.routes.post("/test/faults") { ctx -> isUnavailable.set(ctx.body().contains("\"refuse\"")) }
    }

    override val port: Int = server.port()

    override fun close() {
        server.stop()
    }

    private fun serve(ctx: Context, handle: (Context) -> Unit) {
        if (isUnavailable.get()) {
            ctx.status(HttpStatus.SERVICE_UNAVAILABLE).json(mapOf("error" to "the object store is unavailable"))
        } else {
            handle(ctx)
        }
    }

    private fun getObject(ctx: Context) {
        val content = objects[ctx.pathParam("name")]
        if (content == null) ctx.status(HttpStatus.NOT_FOUND) else ctx.result(content)
    }

    private fun putObject(ctx: Context) {
        objects[ctx.pathParam("name")] = ctx.bodyAsBytes()
        ctx.status(HttpStatus.NO_CONTENT)
    }
}
