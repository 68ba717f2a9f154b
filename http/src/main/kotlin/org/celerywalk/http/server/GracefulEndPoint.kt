package org.celerywalk.http.server

import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

/**
 * Jetty end point that can be closed while it waits for bytes, but not once it has begun to read them.
 *
 * The interest in bytes is taken either by the selector, to read, or by [closeIfIdle], to close. Bytes that arrive in
 * the latter case stay unread, so that the caller's connection is reset and the caller knows that its request did not
 * run.
 *
 * @param isClosing returns true once the connection must not wait for another request.
 */
public open class GracefulEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
    private val isClosing: () -> Boolean,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    /** True if bytes of the next request have left the socket, so that it has to be handled. */
    public open val hasBytesAhead: Boolean get() = false

    /** Closes the connection if it waits for bytes. */
    public fun closeIfIdle() {
        if (!hasBytesAhead && fillInterest.onFail(ClosedChannelException())) close()
    }

    override fun fillInterested(callback: Callback) {
        super.fillInterested(callback)
        if (isClosing()) closeIfIdle()
    }

    override fun tryFillInterested(callback: Callback): Boolean =
        super.tryFillInterested(callback).also { if (isClosing()) closeIfIdle() }
}
