package org.celerywalk.http.server

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Jetty connector that can be closed without leaving a request that was read without a response.
 *
 * @param selectorCount number of threads that wait for bytes of callers.
 */
public open class GracefulConnector(server: Server, http: HttpConfiguration, selectorCount: Int = 1) :
    ServerConnector(server, 1, selectorCount, HttpConnectionFactory(http)) {
    /** True once connections must not wait for another request. */
    @Volatile
    protected var isClosing: Boolean = false
        private set

    init {
        // Jetty would shorten the idle timeout of connections whose callers read a response slowly.
        shutdownIdleTimeout = -1
    }

    // Jetty would close each connection after the response that is being written, although it has read another request.
    // The end points close the connections instead.
    override fun isShutdown(): Boolean = false

    final override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = createEndPoint(channel, selector, key).also { it.idleTimeout = idleTimeout }

    /** Creates the end point of an accepted connection. */
    protected open fun createEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): GracefulEndPoint = GracefulEndPoint(channel, selector, key, scheduler) { isClosing }

    /**
     * Accepts no more connections, closes those on which no request is handled, and waits for the others to end.
     *
     * A connection closes after the responses to all requests that were read from it; the server announces the close
     * itself. Returns false if some connections are still open after [timeout].
     */
    public fun closeGracefully(timeout: Duration): Boolean {
        isClosing = true
        val ended = shutdown()
        connectedEndPoints.forEach { (it as GracefulEndPoint).closeIfIdle() }
        return ended.handle { _, failure -> failure == null }
            .completeOnTimeout(false, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).join()
    }
}
