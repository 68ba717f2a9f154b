package org.celerywalk.gateway

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HandlerType
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Holds the pages for the platform and for operators. */
internal interface GatewayPages {
    fun ready(): Boolean

    fun metrics(): String
}

/** Serves callers, the platform's readiness checks and the metrics, each on an address of its own. */
internal class GatewayServer(
    private val settings: GatewaySettings,
    private val handler: RequestHandler,
    private val pages: GatewayPages,
) {
    private val javalin = Javalin.create(::configure)

    fun start() {
        javalin.start()
    }

    fun stop() {
        javalin.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.startup.startupWatcherEnabled = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply {
            name = "http"
            reservedThreads = 0
        }
        config.jetty.modifyHttpConfiguration { it.configure() }
        config.jetty.addConnector { server, http -> WatchedConnector(server, http).on(settings.callers) }
        config.jetty.addConnector { server, http -> plainConnector(server, http).on(settings.readiness) }
        config.jetty.addConnector { server, http -> plainConnector(server, http).on(settings.metrics) }
        METHODS.forEach { method -> config.routes.addHttpHandler(method, "/*", ::dispatch) }
        config.routes.addHttpHandler(HandlerType.GET, "/", ::dispatch)
    }

    private fun dispatch(context: Context) {
        when (context.req().localPort) {
            settings.callers.port -> handler.handle(context.req(), context.res())
            settings.readiness.port -> page(context, pages.ready(), "")
            else -> page(context, true, pages.metrics())
        }
    }

    private fun page(context: Context, good: Boolean, text: String) {
        context.status(if (good) OK else UNAVAILABLE).contentType("text/plain; charset=utf-8").result(text)
    }

    private fun plainConnector(server: Server, http: HttpConfiguration) =
        ServerConnector(server, 1, 1, HttpConnectionFactory(http))

    private fun ServerConnector.on(address: SocketAddress): ServerConnector = also {
        it.host = address.host
        it.port = address.port
        it.idleTimeout = IDLE_MILLIS
        it.acceptQueueSize = ACCEPT_QUEUE
    }

    private fun HttpConfiguration.configure() {
        sendServerVersion = false
        sendDateHeader = false
        httpCompliance = HttpCompliance.RFC9110
        uriCompliance = UriCompliance.UNSAFE
        requestHeaderSize = HEADER_BYTES
        responseHeaderSize = HEADER_BYTES
        outputBufferSize = BUFFER_BYTES
        outputAggregationSize = BUFFER_BYTES
        headerCacheSize = 0
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        // A request occupies a thread; RequestHandler refuses requests well before none is left for other pages.
        const val MAX_THREADS = 240
        const val MIN_THREADS = 8
        const val HEADER_BYTES = 32 * 1024
        const val BUFFER_BYTES = 8 * 1024
        const val ACCEPT_QUEUE = 512

        // Above the idle time that callers keep to, so that a connection is not closed under a request.
        const val IDLE_MILLIS = 60_000L
        val METHODS = listOf(
            HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE,
            HandlerType.HEAD, HandlerType.OPTIONS,
        )
    }
}
