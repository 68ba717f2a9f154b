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

    /** Reports the disconnects since the last call on all connections. Must be called on one thread only. */
    fun detectDisconnects() = connectedEndPoints.forEach {
        (it as DisconnectDetectingEndPoint).detectDisconnect(readAheadBuffer)
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
     */
    fun watchForDisconnect(onDisconnect: () -> Unit) {
        this.onDisconnect = onDisconnect
    }

    /** Stops watching; the connection is not read ahead from now on. */
    fun stopWatching() = synchronized(lock) { onDisconnect = null }

    /** Reads ahead on a watched connection, by means of [buffer], and reports its end. Does not block. */
    fun detectDisconnect(buffer: ByteBuffer) {
        if (onDisconnect == null) return
        val report = synchronized(lock) {
            if (onDisconnect != null) readAhead(buffer)
            onDisconnect.takeIf { isInputClosed }?.also { onDisconnect = null }
        }
        report?.invoke()
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

        private const val END_OF_INPUT = -1

        // Value of SO_LINGER that lets a close send the remaining bytes.
        private const val NO_LINGER = -1
    }
}
