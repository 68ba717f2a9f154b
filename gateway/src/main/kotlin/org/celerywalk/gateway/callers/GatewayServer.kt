package org.celerywalk.gateway.callers

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.GatewaySettings
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.http.server.GracefulConnector
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Content of the readiness check for the platform and of the metrics page for operators. */
internal interface StatusPages {
    /** Returns true if the gateway can serve callers. */
    fun isReady(): Boolean

    /** Returns the current metrics as the text of the metrics page. */
    fun metrics(): String
}

/**
 * HTTP server for callers, the platform's readiness checks and the metrics, each on an address of its own.
 *
 * Uses Jetty without Javalin, whose servlet layer would delay the start of a gateway.
 *
 * @param callersSocket listening socket bound to the address for callers, or null to open one in [start].
 */
internal class GatewayServer(
    private val settings: GatewaySettings,
    private val handler: RequestHandler,
    private val pages: StatusPages,
    log: EventLog,
    callersSocket: ServerSocketChannel?,
) {
    // Jetty's default queue loads the JVM's management classes, and its default thread factory those of method handles.
    // Both would delay the start.
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
    private val server = Server(threads, ScheduledExecutorScheduler(timers), null)
    private val http = HttpConfiguration().apply { configure() }
    private val callers = DisconnectDetectingConnector(server, http).apply { listenOn(settings.callers) }
    private val connectors = listOf(callers) + listOf(settings.readiness, settings.metrics)
        .map { address -> GracefulConnector(server, http).apply { listenOn(address) } }
    private val disconnectTask =
        PeriodicTask("caller-disconnects", DISCONNECT_CHECK_INTERVAL, log, callers::detectDisconnects)

    init {
        callersSocket?.let(callers::open)
        connectors.forEach(server::addConnector)
        server.handler = PortDispatcher()
    }

    /** Opens the addresses and serves requests on Jetty's threads. Returns once the server listens. */
    fun start() {
        server.start()
        disconnectTask.start()
    }

    /**
     * Closes the addresses and all connections, those on which a request is handled after its response.
     *
     * Returns false if some connections are still open after [timeout].
     */
    fun stop(timeout: Duration): Boolean {
        val begunAt = TimeSource.Monotonic.markNow()
        return connectors.map { it.closeGracefully((timeout - begunAt.elapsedNow()).coerceAtLeast(Duration.ZERO)) }
            .all { it }
    }

    private inner class PortDispatcher : Handler.Abstract() {
        override fun handle(request: Request, response: Response, callback: Callback): Boolean {
            when (Request.getLocalPort(request)) {
                settings.callers.port -> handler.handle(request, response, callback)
                settings.readiness.port -> writePage(response, pages.isReady(), "", callback)
                else -> writePage(response, true, pages.metrics(), callback)
            }
            return true
        }
    }

    private fun writePage(response: Response, isAvailable: Boolean, text: String, callback: Callback) {
        response.status = if (isAvailable) OK else UNAVAILABLE
        Content.Sink.write(response, true, text, callback)
    }

    private fun ServerConnector.listenOn(address: SocketAddress) {
        host = address.host
        port = address.port
        idleTimeout = CONNECTION_IDLE_MILLIS
        acceptQueueSize = CallersSocket.ACCEPT_QUEUE_CONNECTIONS
    }

    private fun HttpConfiguration.configure() {
        sendServerVersion = false
        sendDateHeader = false
        httpCompliance = HttpCompliance.STRICT
        uriCompliance = UriCompliance.UNSAFE
        requestHeaderSize = MAX_HEADER_BYTES
        responseHeaderSize = MAX_HEADER_BYTES
        outputBufferSize = OUTPUT_BUFFER_BYTES
        outputAggregationSize = OUTPUT_BUFFER_BYTES
        headerCacheSize = 0
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503

        // Each request occupies a thread. RequestHandler refuses requests early enough that threads remain for the
        // readiness checks and metrics.
        const val MAX_THREADS = 240
        const val MIN_THREADS = 8
        const val THREAD_IDLE_MILLIS = 60_000
        const val MAX_HEADER_BYTES = 32 * 1024
        const val OUTPUT_BUFFER_BYTES = 8 * 1024

        // Longer than callers keep idle connections, so that the gateway does not close one just as a request is sent.
        const val CONNECTION_IDLE_MILLIS = 60_000L
        val DISCONNECT_CHECK_INTERVAL = 100.milliseconds
    }
}
