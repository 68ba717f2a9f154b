package org.celerywalk.engine

import org.celerywalk.http.strict.ResponseSyntax
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Jetty connector for connections that are not read before a request was written and that check what they receive. */
internal class RequestFirstConnector : ClientConnector() {
    override fun newEndPoint(channel: SelectableChannel, selector: ManagedSelector, key: SelectionKey): EndPoint =
        RequestFirstEndPoint(channel as SocketChannel, selector, key, scheduler)
}

/**
 * End point that leaves bytes unread until a request was written, and closes a connection that stays without one.
 *
 * Jetty reads and discards bytes that arrive before it writes the request; if they never end, it never writes it. Its
 * parser also accepts some heads that are none in HTTP/1.1, which [ResponseSyntax] refuses. A connection has one
 * request.
 */
private class RequestFirstEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val openedAt = TimeSource.Monotonic.markNow()
    private val syntax = ResponseSyntax().apply { expectResponse("POST") }

    @Volatile
    private var hasWritten = false

    override fun flush(vararg buffers: ByteBuffer): Boolean {
        hasWritten = true
        return super.flush(*buffers)
    }

    override fun fill(buffer: ByteBuffer): Int = when {
        hasWritten -> super.fill(buffer).also { if (it > 0) checkLast(buffer, it) }
        openedAt.elapsedNow() <= MAX_TIME_WITHOUT_REQUEST -> 0
        else -> END_OF_INPUT.also { close() }
    }

    private fun checkLast(buffer: ByteBuffer, count: Int) = syntax.check(buffer.slice(buffer.limit() - count, count))

    private companion object {
        const val END_OF_INPUT = -1

        // A request is written as soon as its connection is open, unless its caller has left.
        val MAX_TIME_WITHOUT_REQUEST = 1.seconds
    }
}
