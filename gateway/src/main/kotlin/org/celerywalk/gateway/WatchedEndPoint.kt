package org.celerywalk.gateway

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor

/** Accepts connections whose end is noticed while a request is being handled. */
internal class WatchedConnector(server: Server, http: HttpConfiguration) :
    ServerConnector(server, 1, 1, HttpConnectionFactory(http)) {
    override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = WatchedEndPoint(channel, selector, key, scheduler, executor).also {
        it.idleTimeout = idleTimeout
    }
}

/**
 * Tells while a request is handled that its caller closed the connection.
 *
 * Jetty reads nothing during that time. The watch reads ahead instead, and hands bytes of a next request to Jetty when
 * it reads again.
 */
internal class WatchedEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
    private val executor: Executor,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val lock = Any()
    private var ahead = ByteBuffer.allocate(0)
    private var ended = false
    private var registered = false
    private var reading = false
    private var reader: Callback? = null
    private var onLeft: (() -> Unit)? = null

    /** Calls [onLeft] once if the caller closes the connection before [unwatch]. */
    fun watch(onLeft: () -> Unit) {
        val register = synchronized(lock) {
            this.onLeft = onLeft
            val needed = !registered && !reading && !ended && ahead.remaining() < READ_AHEAD_BYTES
            if (needed) registered = true
            needed
        }
        if (register) super.fillInterested(readable)
        if (synchronized(lock) { ended }) onLeft()
    }

    /** Ends the watch; a read that it started goes on for Jetty. */
    fun unwatch() {
        synchronized(lock) { onLeft = null }
    }

    override fun fill(buffer: ByteBuffer): Int {
        val kept = synchronized(lock) {
            if (ahead.hasRemaining()) BufferUtil.append(buffer, ahead) else if (ended) -1 else 0
        }
        return if (kept != 0) kept else super.fill(buffer)
    }

    override fun fillInterested(callback: Callback) {
        if (!takesOver(callback)) super.fillInterested(callback)
    }

    override fun tryFillInterested(callback: Callback): Boolean =
        takesOver(callback) || super.tryFillInterested(callback)

    // Jetty closes a connection that still waits for bytes when a request ends; the watch's own wait does not count.
    override fun isFillInterested(): Boolean = super.isFillInterested() &&
        synchronized(lock) { !registered || reader != null }

    // Keeps Jetty's callback while the watch has a read of its own in progress.
    private fun takesOver(callback: Callback): Boolean {
        val ready = synchronized(lock) {
            val ready = ahead.hasRemaining() || ended
            if (!ready && !registered && !reading) return false
            if (!ready) reader = callback
            ready
        }
        if (ready) executor.execute(callback::succeeded)
        return true
    }

    private val readable = object : Callback {
        override fun succeeded() {
            val next = synchronized(lock) {
                registered = false
                reading = reader == null
                reader.also { reader = null }
            }
            if (next != null) next.succeeded() else readAhead()
        }

        override fun failed(cause: Throwable) {
            val next = synchronized(lock) {
                registered = false
                ended = true
                reader.also { reader = null }
            }
            if (next != null) next.failed(cause) else left()
        }
    }

    private fun readAhead() {
        val buffer = BufferUtil.allocate(READ_AHEAD_BYTES)
        val count = super.fill(buffer)
        val next = synchronized(lock) {
            reading = false
            if (count < 0) ended = true else if (count > 0) ahead = joined(buffer)
            val again = reader == null && count >= 0 && ahead.remaining() < READ_AHEAD_BYTES && onLeft != null
            registered = again
            if (again) readable else reader.also { reader = null }
        }
        when {
            next == null -> Unit
            next === readable || count == 0 -> super.fillInterested(next)
            else -> executor.execute(next::succeeded)
        }
        if (count < 0) left()
    }

    private fun joined(more: ByteBuffer): ByteBuffer =
        ByteBuffer.allocate(ahead.remaining() + more.remaining()).put(ahead).put(more).flip()

    private fun left() {
        synchronized(lock) { onLeft.also { onLeft = null } }?.invoke()
    }

    private companion object {
        const val READ_AHEAD_BYTES = 8 * 1024
    }
}
