package org.celerywalk.standins.engine

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HttpStatus
import io.javalin.http.bodyAsClass
import org.celerywalk.standins.RecordedRequest
import org.celerywalk.standins.RequestRecorder
import org.celerywalk.standins.StandIn
import org.celerywalk.standins.abortConnection
import org.celerywalk.standins.mergeJsonFields
import org.celerywalk.standins.standInJson
import org.celerywalk.standins.startServer
import java.io.IOException
import java.io.OutputStream

/**
 * Stand-in for a language model engine; docs/stand-ins.md describes the HTTP API.
 *
 * Weights are loaded from the weight store at the base URL `weightStore`; without it only the load time is simulated.
 */
public class EngineStandIn(
    port: Int = 0,
    settings: EngineSettings = EngineSettings(),
    weightStore: String? = null,
) : StandIn {
    private val simulator = EngineSimulator(settings, weightStore)
    private val requestRecorder = RequestRecorder()
    private val server = startServer(port) { config ->
        addEngineRoutes(config.routes)
        addTestRoutes(config.routes)
    }

    override val port: Int = server.port()

    /** Current settings, which may be changed while the engine runs. */
    public var settings: EngineSettings
        get() = simulator.settings
        set(value) {
            simulator.settings = value
        }

    /** Counters since the process started. */
    public val counts: EngineCounts get() = simulator.counts

    /** Returns the newest requests, oldest first. */
    public fun requests(): List<RecordedRequest> = requestRecorder.list()

    /** Simulates a crash and restart: empties the cache, closes all streams and takes a new incarnation. */
    public fun crash() {
        simulator.crash()
    }

    override fun close() {
        simulator.close()
        server.stop()
    }

    private fun addEngineRoutes(routes: RoutesConfig) {
        routes.before("/v1/*") { ctx -> requestRecorder.record(ctx) }
        routes.post("/v1/generate", ::generate)
        routes.post("/v1/generate/{attempt}/cancel") { ctx ->
            val cancelledCount = simulator.cancel { it.body.attemptId == ctx.pathParam("attempt") }
            ctx.json(mapOf("cancelled" to cancelledCount))
        }
        routes.get("/v1/status") { it.json(simulator.status()) }
        routes.get("/v1/cache/events") { it.json(simulator.cacheApi.events(it.queryParam("after")?.toLong() ?: 0)) }
        routes.get("/v1/cache/pieces") { it.json(simulator.cacheApi.residentPieces()) }
        routes.post("/v1/orders") { ctx ->
            simulator.submitOrder(ctx.bodyAsClass())?.let { refuse(ctx, it) } ?: ctx.json(simulator.status())
        }
        routes.post("/v1/kv/export") { it.result(simulator.cacheApi.export(it.bodyAsClass())) }
        routes.post("/v1/kv/import") { ctx ->
            simulator.cacheApi.import(ctx.queryParam("cache_scope").orEmpty(), ctx.bodyAsBytes())
                ?.let { refuse(ctx, it) }
                ?: ctx.status(HttpStatus.NO_CONTENT)
        }
    }

    private fun addTestRoutes(routes: RoutesConfig) {
        routes.get("/test/requests") { it.json(mapOf("requests" to requests())) }
        routes.get("/test/counts") { it.json(counts) }
        routes.get("/test/settings") { it.json(settings) }
        routes.post("/test/settings") { ctx ->
            settings = mergeJsonFields(settings, ctx.body())
            ctx.json(settings)
        }
        routes.post("/test/crash") { ctx ->
            crash()
            ctx.json(simulator.status())
        }
    }

    private fun generate(ctx: Context) {
        val body = ctx.bodyAsClass<GenerateBody>()
        val (generation, refusal) = simulator.submit(body)
        if (generation == null) {
            refusal?.let { refuse(ctx, it, mapOf("attempt_id" to body.attemptId)) }
            return
        }
        ctx.contentType("text/event-stream")
        try {
            // Javalin's own output stream does not pass on flush(), so this writes to the servlet's stream.
            writeEvents(generation, ctx.res().outputStream)
        } catch (_: IOException) {
            // The client has closed the connection, which cancels its request, or the engine has aborted the sequence.
            simulator.cancel { it === generation }
            ctx.abortConnection()
        }
    }

    private fun writeEvents(generation: Generation, out: OutputStream) {
        while (true) {
            val event = generation.pollEvent(KEEP_ALIVE_INTERVAL_MILLIS)
            if (event is StreamEvent.Aborted) throw IOException("the engine aborted the stream")
            out.write(encode(event).toByteArray())
            out.flush()
            if (event is StreamEvent.Finished) break
        }
    }

    private fun encode(event: StreamEvent?): String = when (event) {
        // An SSE comment keeps an idle stream alive; if its write fails, the client has disconnected.
        null, StreamEvent.Aborted -> ":\n\n"
        else -> "event: ${event::class.simpleName?.lowercase()}\ndata: ${standInJson.writeValueAsString(event)}\n\n"
    }

    private fun refuse(ctx: Context, refusal: Refusal, fields: Map<String, String> = emptyMap()) {
        ctx.status(refusal.status).json(mapOf("error" to refusal.message, "not_run" to true) + fields)
    }

    private companion object {
        const val KEEP_ALIVE_INTERVAL_MILLIS = 50L
    }
}
