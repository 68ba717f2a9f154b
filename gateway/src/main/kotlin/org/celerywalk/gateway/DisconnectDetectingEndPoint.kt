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
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor

/** Jetty connector for connections that detect a disconnect of the caller while a request is handled. */
internal class DisconnectDetectingConnector(server: Server, http: HttpConfiguration) :
    ServerConnector(server, 1, 1, HttpConnectionFactory(http)) {
    override fun newEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint = DisconnectDetectingEndPoint(channel, selector, key, scheduler, executor).also {
        it.idleTimeout = idleTimeout
    }
}

/**
 * Jetty end point that detects, while a request is handled, that the caller closed the connection, and that can reset
 * the connection instead of closing it.
 *
 * Jetty does not read from the connection during that time. This class reads ahead instead, and hands the bytes of a
 * pipelined next request to Jetty when Jetty reads again. Its state is guarded by [lock], since reads end on Jetty's
 * threads.
 */
internal class DisconnectDetectingEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
    private val executor: Executor,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val lock = Any()
    private var bufferedInput = ByteBuffer.allocate(0)
    private var isInputClosed = false
    private var isReadRegistered = false
    private var isReadingAhead = false

    // Jetty's callback for the next readable bytes, kept while this class reads ahead.
    private var jettyCallback: Callback? = null
    private var onDisconnect: (() -> Unit)? = null

    /** True if the connection is reset when it is closed, also by the end of this process. */
    var resetsOnClose: Boolean = false
        set(value) {
            if (value == field) return
            field = value
            (channel as SocketChannel).setOption(StandardSocketOptions.SO_LINGER, if (value) 0 else NO_LINGER)
        }

    /**
     * Calls [onDisconnect] when the caller closes the connection, or at once if it is closed already.
     *
     * Ends with [stopWatching].
     */
    fun watchForDisconnect(onDisconnect: () -> Unit) {
        val needsRegistration = synchronized(lock) {
            this.onDisconnect = onDisconnect
            val isReadNeeded = !isReadRegistered && !isReadingAhead && !isInputClosed &&
                bufferedInput.remaining() < READ_AHEAD_BYTES
            if (isReadNeeded) isReadRegistered = true
            isReadNeeded
        }
        if (needsRegistration) super.fillInterested(readAheadCallback)
        if (synchronized(lock) { isInputClosed }) onDisconnect()
    }

    /** Stops reporting a disconnect; a read in progress continues, and its bytes go to Jetty. */
    fun stopWatching() {
        synchronized(lock) { onDisconnect = null }
    }

    override fun fill(buffer: ByteBuffer): Int {
        val count = synchronized(lock) {
            if (bufferedInput.hasRemaining()) BufferUtil.append(buffer, bufferedInput) else if (isInputClosed) -1 else 0
        }
        return if (count != 0) count else super.fill(buffer)
    }

    override fun fillInterested(callback: Callback) {
        if (!deferToReadAhead(callback)) super.fillInterested(callback)
    }

    override fun tryFillInterested(callback: Callback): Boolean =
        deferToReadAhead(callback) || super.tryFillInterested(callback)

    // Jetty closes a connection that still waits for bytes when a request ends. A wait for bytes to read ahead is not
    // reported as such a wait.
    override fun isFillInterested(): Boolean = super.isFillInterested() &&
        synchronized(lock) { !isReadRegistered || jettyCallback != null }

    // Keeps Jetty's callback until the read-ahead in progress ends, or runs it at once if bytes were read ahead or the
    // input has ended. Returns false if none of these cases applies.
    private fun deferToReadAhead(callback: Callback): Boolean {
        val isReadable = synchronized(lock) {
            val isReadable = bufferedInput.hasRemaining() || isInputClosed
            if (!isReadable && !isReadRegistered && !isReadingAhead) return false
            if (!isReadable) jettyCallback = callback
            isReadable
        }
        if (isReadable) executor.execute(callback::succeeded)
        return true
    }

    private val readAheadCallback = object : Callback {
        override fun succeeded() {
            val nextCallback = synchronized(lock) {
                isReadRegistered = false
                isReadingAhead = jettyCallback == null
                jettyCallback.also { jettyCallback = null }
            }
            if (nextCallback != null) nextCallback.succeeded() else readAhead()
        }

        override fun failed(cause: Throwable) {
            val nextCallback = synchronized(lock) {
                isReadRegistered = false
                isInputClosed = true
                jettyCallback.also { jettyCallback = null }
            }
            if (nextCallback != null) nextCallback.failed(cause) else notifyDisconnect()
        }
    }

    private fun readAhead() {
        val buffer = BufferUtil.allocate(READ_AHEAD_BYTES)
        val count = super.fill(buffer)
        val nextCallback = synchronized(lock) {
            isReadingAhead = false
            if (count < 0) isInputClosed = true else if (count > 0) bufferedInput = withBufferedInput(buffer)
            val mayReadMore = jettyCallback == null && count >= 0 &&
                bufferedInput.remaining() < READ_AHEAD_BYTES && onDisconnect != null
            isReadRegistered = mayReadMore
            if (mayReadMore) readAheadCallback else jettyCallback.also { jettyCallback = null }
        }
        when {
            nextCallback == null -> Unit
            nextCallback === readAheadCallback || count == 0 -> super.fillInterested(nextCallback)
            else -> executor.execute(nextCallback::succeeded)
        }
        if (count < 0) notifyDisconnect()
    }

    private fun withBufferedInput(more: ByteBuffer): ByteBuffer =
        ByteBuffer.allocate(bufferedInput.remaining() + more.remaining()).put(bufferedInput).put(more).flip()

    private fun notifyDisconnect() {
        synchronized(lock) { onDisconnect.also { onDisconnect = null } }?.invoke()
    }

    private companion object {
        const val READ_AHEAD_BYTES = 8 * 1024

        // Value of SO_LINGER that lets a close send the remaining bytes.
        const val NO_LINGER = -1
    }
}
