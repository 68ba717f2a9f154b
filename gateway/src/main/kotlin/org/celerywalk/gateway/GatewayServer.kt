package org.celerywalk.gateway

import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.ThreadFactory

/** Holds the pages for the platform and for operators. */
internal interface GatewayPages {
    fun ready(): Boolean

    fun metrics(): String
}

/**
 * Serves callers, the platform's readiness checks and the metrics, each on an address of its own.
 *
 * Built on Jetty without Javalin's servlet layer, which delays the start of a gateway.
 *
 * @param callersSocket listening socket on the address for callers, or null to open one at the start.
 */
internal class GatewayServer(
    private val settings: GatewaySettings,
    private val handler: RequestHandler,
    private val pages: GatewayPages,
    callersSocket: ServerSocketChannel?,
) {
    // Jetty's own queue loads the classes of the JVM's management, and its thread factory those of method handles; both
    // delay the start.
    private val threadFactory = ThreadFactory { task -> Thread(task, "http").apply { isDaemon = true } }
    private val threads = QueuedThreadPool(
        MAX_THREADS,
        MIN_THREADS,
        THREAD_IDLE_MILLIS,
        0,
        LinkedBlockingQueue(),
        null,
        threadFactory,
    )
    private val timers = ScheduledThreadPoolExecutor(1, threadFactory).apply { removeOnCancelPolicy = true }
    private val server = Server(threads, ScheduledExecutorScheduler(timers), null).also { server ->
        val http = HttpConfiguration().apply { configure() }
        val callers = WatchedConnector(server, http).on(settings.callers)
        callersSocket?.let(callers::open)
        server.addConnector(callers)
        server.addConnector(plainConnector(server, http).on(settings.readiness))
        server.addConnector(plainConnector(server, http).on(settings.metrics))
        server.handler = Dispatch()
    }

    fun start() {
        server.start()
    }

    private inner class Dispatch : Handler.Abstract() {
        override fun handle(request: Request, response: Response, callback: Callback): Boolean {
            when (Request.getLocalPort(request)) {
                settings.callers.port -> handler.handle(request, response, callback)
                settings.readiness.port -> page(response, pages.ready(), "", callback)
                else -> page(response, true, pages.metrics(), callback)
            }
            return true
        }
    }

    private fun page(response: Response, good: Boolean, text: String, callback: Callback) {
        response.status = if (good) OK else UNAVAILABLE
        Content.Sink.write(response, true, text, callback)
    }

    private fun plainConnector(server: Server, http: HttpConfiguration) =
        ServerConnector(server, 1, 1, HttpConnectionFactory(http))

    private fun ServerConnector.on(address: SocketAddress): ServerConnector = also {
        it.host = address.host
        it.port = address.port
        it.idleTimeout = IDLE_MILLIS
        it.acceptQueueSize = CallersSocket.QUEUED_CONNECTIONS
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
        const val THREAD_IDLE_MILLIS = 60_000
        const val HEADER_BYTES = 32 * 1024
        const val BUFFER_BYTES = 8 * 1024

        // Above the idle time that callers keep to, so that a connection is not closed under a request.
        const val IDLE_MILLIS = 60_000L
    }
}
