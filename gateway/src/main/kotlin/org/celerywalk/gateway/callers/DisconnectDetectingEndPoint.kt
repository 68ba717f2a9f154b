package org.celerywalk.gateway.callers

import org.celerywalk.http.server.GracefulConnector
import org.celerywalk.http.server.GracefulEndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Jetty connector for connections that detect a disconnect of the caller while a request is handled. */
internal class DisconnectDetectingConnector(
    server: Server,
    http: HttpConfiguration,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : GracefulConnector(server, http) {
    private val readAheadBuffer = BufferUtil.allocateDirect(DisconnectDetectingEndPoint.READ_AHEAD_BYTES)

    override fun createEndPoint(
        channel: SocketChannel,
        selector: ManagedSelector,
        key: SelectionKey,
    ): GracefulEndPoint =
        DisconnectDetectingEndPoint(channel, selector, key, ReadContext(scheduler, timeSource, executor)) { isClosing }
            .also { channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES) }

    /**
     * Reports the disconnects since the last call on all connections, and cuts off responses that are left unread. Must
     * be called on one thread only.
     */
    fun detectDisconnects() = connectedEndPoints.forEach {
        (it as DisconnectDetectingEndPoint).detectDisconnect(readAheadBuffer)
        it.cutOffUnread()
    }

    private companion object {
        // Linux doubles this. By default it lets the buffer of a caller that does not read grow to 4 MB, which 200 open
        // requests do not have.
        const val SEND_BUFFER_BYTES = 64 * 1024
    }
}

/** What the end points of a connector share: the [scheduler] of Jetty's timeouts, the clock and Jetty's threads. */
internal class ReadContext(val scheduler: Scheduler, val timeSource: TimeSource, val executor: Executor)

/**
 * Jetty end point that detects, while a request is handled, that the caller closed the connection, and that can reset
 * the connection instead of closing it.
 *
 * Jetty does not read from the connection during that time. [detectDisconnect] reads ahead instead, and the bytes of a
 * pipelined next request wait until Jetty reads again. Bytes leave the socket only under [lock], so that their order
 * does not depend on which thread reads.
 */
internal class DisconnectDetectingEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    private val context: ReadContext,
    isClosing: () -> Boolean,
) : GracefulEndPoint(channel, selector, key, context.scheduler, isClosing) {
    private val lock = Any()
    private var bytesReadAhead = BufferUtil.EMPTY_BUFFER
    private var readAheadAt: TimeMark? = null

    @Volatile
    private var isInputClosed = false

    @Volatile
    private var onDisconnect: (() -> Unit)? = null

    @Volatile
    private var onUnread: (() -> Unit)? = null

    // Time since which the connection has taken no byte of a write, or null if no write waits.
    @Volatile
    private var blockedSince: TimeMark? = null
    private var overdueSince: TimeMark? = null

    override val hasBytesAhead: Boolean get() = synchronized(lock) { bytesReadAhead.hasRemaining() }

    /** True if the connection is reset when it is closed, also by the end of this process. */
    var resetsOnClose: Boolean = false
        set(value) {
            if (value == field) return
            field = value
            (channel as SocketChannel).setOption(StandardSocketOptions.SO_LINGER, if (value) 0 else NO_LINGER)
        }

    /**
     * Returns how long ago the first bytes of the next request were read ahead, and null if none were since the last
     * call.
     */
    fun takeReadAheadAge(): Duration? = synchronized(lock) {
        readAheadAt?.elapsedNow().also { readAheadAt = null }
    }

    /**
     * Lets [detectDisconnect] call [onDisconnect] once the caller has closed the connection, until [stopWatching].
     *
     * Jetty must not read from the connection in between, since it would not learn of bytes that were read ahead.
     *
     * @param onUnread called by [cutOffUnread] before it cuts off the response.
     */
    fun watchForDisconnect(onUnread: () -> Unit = {}, onDisconnect: () -> Unit) {
        this.onUnread = onUnread
        this.onDisconnect = onDisconnect
    }

    /** Stops watching; the connection is not read ahead from now on. */
    fun stopWatching() = synchronized(lock) {
        onDisconnect = null
        onUnread = null
    }

    /** Reads ahead on a watched connection, by means of [buffer], and reports its end. Does not block. */
    fun detectDisconnect(buffer: ByteBuffer) {
        if (onDisconnect == null) return
        val report = synchronized(lock) {
            if (onDisconnect != null) readAhead(buffer)
            onDisconnect.takeIf { isInputClosed }?.also { onDisconnect = null }
        }
        report?.invoke()
    }

    /**
     * Resets a watched connection that has taken no byte of a write for [UNREAD_LIMIT], so that the write fails.
     *
     * A close without a reset would leave the unread bytes in the system's buffer. The limit must be exceeded at two
     * calls in a row: after a freeze of this process, the connection may take bytes that were not offered to it.
     */
    fun cutOffUnread() {
        val overdue = blockedSince?.takeIf { it.elapsedNow() >= UNREAD_LIMIT }
        val isUnread = overdue != null && overdue == overdueSince
        overdueSince = overdue
        val report = if (isUnread) synchronized(lock) { onUnread.also { onUnread = null } } else null
        report?.let {
            it()
            resetsOnClose = true
            close()
        }
    }

    // The array is that of Jetty's write, which has at most three buffers.
    @Suppress("SpreadOperator")
    override fun flush(vararg buffers: ByteBuffer): Boolean {
        val bytesBefore = buffers.sumOf { it.remaining() }
        val isComplete = super.flush(*buffers)
        when {
            isComplete -> blockedSince = null
            blockedSince == null || buffers.sumOf { it.remaining() } < bytesBefore ->
                blockedSince = context.timeSource.markNow()
        }
        return isComplete
    }

    override fun fill(buffer: ByteBuffer): Int = synchronized(lock) {
        when {
            bytesReadAhead.hasRemaining() -> BufferUtil.append(buffer, bytesReadAhead)
            isInputClosed -> END_OF_INPUT
            else -> super.fill(buffer)
        }
    }

    // Jetty may wait for the socket without a last read, which would have returned the bytes that were read ahead.
    override fun needsFillInterest() {
        if (hasBytesAhead || isInputClosed) {
            context.executor.execute(fillInterest::fillable)
        } else {
            super.needsFillInterest()
        }
    }

    private fun readAhead(buffer: ByteBuffer) {
        if (isInputClosed || bytesReadAhead.remaining() >= READ_AHEAD_BYTES) return
        BufferUtil.clear(buffer)
        val count = super.fill(buffer)
        if (count == END_OF_INPUT) isInputClosed = true
        if (count > 0) {
            if (readAheadAt == null) readAheadAt = context.timeSource.markNow()
            bytesReadAhead = ByteBuffer.allocate(bytesReadAhead.remaining() + count)
                .put(bytesReadAhead).put(buffer).flip()
        }
    }

    companion object {
        /** Number of bytes after which a connection is not read ahead any further. */
        const val READ_AHEAD_BYTES = 8 * 1024

        /**
         * Time after which a response that its caller leaves unread is cut off.
         *
         * The gateway learns that a caller reads only when the caller's system announces space. With Linux's default
         * receive buffer, a caller that reads 20 KB/s announces 120 KB every 6 s, so 5 s cut off callers that read
         * steadily. At 10 s, the same step allows 12 KB/s, and smaller buffers allow less.
         */
        val UNREAD_LIMIT = 10.seconds

        private const val END_OF_INPUT = -1

        // Value of SO_LINGER that lets a close send the remaining bytes.
        private const val NO_LINGER = -1
    }
}
