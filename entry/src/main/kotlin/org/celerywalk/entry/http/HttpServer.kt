package org.celerywalk.entry.http

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HandlerType
import org.celerywalk.entry.ListenAddress
import org.celerywalk.http.server.GracefulConnector
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.tinylog.kotlin.Logger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Status pages that need no key. */
internal interface StatusPages {
    fun isReady(): Boolean

    /** Returns the metrics in the Prometheus text format. */
    fun scrapeMetrics(): String
}

/** Routes of the server; [services] handles all paths without another route. */
internal class Routes(val chat: Route, val models: Route, val services: Route)

/** Serves callers over HTTP/1.1 with a fixed number of threads, however many streams are open. */
internal class HttpServer(
    private val address: ListenAddress,
    private val routes: Routes,
    private val statusPages: StatusPages,
    private val routeRunner: RouteRunner,
    private val onRefusal: (requestId: String, Problem) -> Unit,
) {
    private val javalin = Javalin.create(::configure)
    private var connector: GracefulConnector? = null

    /** Port that the server listens on. */
    val actualPort: Int get() = javalin.port()

    fun start() {
        javalin.start()
    }

    /** Closes all connections, those on which a request is handled after its response, and stops the server. */
    fun stop() {
        val areConnectionsClosed = connector?.closeGracefully(CLOSE_TIMEOUT) ?: true
        if (!areConnectionsClosed) Logger.warn("event=connections_cut after={}", CLOSE_TIMEOUT)
        javalin.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.startup.startupWatcherEnabled = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { name = "http" }
        config.jetty.modifyServer { it.errorHandler = BadRequestHandler(onRefusal) }
        config.jetty.modifyHttpConfiguration { it.limitConnectionBuffers() }
        config.jetty.addConnector(::createConnector)
        config.routes.post("/v1/chat/completions") { routeRunner.run(it, routes.chat) }
        config.routes.get("/v1/models") { routeRunner.run(it, routes.models) }
        config.routes.get("/health/live") { sendText(it, HttpStatus.OK, "live\n") }
        config.routes.get("/health/ready") { sendReadiness(it) }
        config.routes.get("/metrics") { sendText(it, HttpStatus.OK, statusPages.scrapeMetrics()) }
        SERVICE_METHODS.forEach { method ->
            config.routes.addHttpHandler(method, "/<path>") { routeRunner.run(it, routes.services) }
        }
        config.routes.exception(Exception::class.java) { failure, context ->
            val problem = internalError(newRandomId(), failure)
            context.status(problem.status).contentType("application/json").result(problem.toJson())
        }
    }

    private fun createConnector(server: Server, configuration: HttpConfiguration): ServerConnector =
        GracefulConnector(server, configuration, SELECTOR_COUNT).also {
            it.host = address.host
            it.port = address.port
            it.idleTimeout = IDLE_TIMEOUT.inWholeMilliseconds
            connector = it
        }

    private fun sendReadiness(context: Context) = if (statusPages.isReady()) {
        sendText(context, HttpStatus.OK, "ready\n")
    } else {
        sendText(context, HttpStatus.SERVICE_UNAVAILABLE, "not ready\n")
    }

    private fun sendText(context: Context, status: Int, text: String) {
        context.header(REQUEST_ID_HEADER, newRandomId())
        val body = text.toByteArray()
        context.res().setContentLength(body.size)
        context.status(status).contentType("text/plain; charset=utf-8").result(body)
    }

    private companion object {
        const val MAX_THREADS = 24
        const val MIN_THREADS = 4
        const val SELECTOR_COUNT = 2

        // A connection on which the caller reads and sends nothing for this time is closed.
        val IDLE_TIMEOUT = 30.seconds

        // Time in which callers can take the responses to requests that arrive while the server stops.
        val CLOSE_TIMEOUT = 500.milliseconds
        val SERVICE_METHODS =
            listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)
    }
}

/** Limits the buffers of each connection, because every open stream has its own connection. */
internal fun HttpConfiguration.limitConnectionBuffers() {
    sendServerVersion = false
    httpCompliance = HttpCompliance.STRICT
    requestHeaderSize = MAX_HEADER_BYTES
    outputBufferSize = OUTPUT_BUFFER_BYTES
    outputAggregationSize = OUTPUT_BUFFER_BYTES
    // The default cache of header fields takes 98 KB for each connection.
    headerCacheSize = 0
}

private const val MAX_HEADER_BYTES = 16 * 1024
private const val OUTPUT_BUFFER_BYTES = 4 * 1024
