package org.celerywalk.entry.http

import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.net.StandardSocketOptions.SO_LINGER
import java.nio.channels.ClosedChannelException
import java.nio.channels.NetworkChannel

/**
 * Frames a body of unknown length, so that the caller can tell a complete body from one that was cut.
 *
 * HTTP/1.1 has chunks. On HTTP/1.0 only the end of the connection ends the body, so the connection is reset if it is
 * closed before the body is complete, also by the end of the process. Not thread-safe.
 */
internal class StreamFraming(private val request: HttpServletRequest) {
    /** Whether the end of the connection is the only end of the body. */
    var isEndedByConnection = false
        private set

    private val channel: NetworkChannel
        get() = ServletContextRequest.getServletContextRequest(request)
            .connectionMetaData.connection.endPoint.transport as NetworkChannel

    /** Returns the header fields that frame the body; call it before the first byte is written. */
    fun start(): List<Pair<String, String>> {
        isEndedByConnection = request.protocol == "HTTP/1.0"
        if (isEndedByConnection) enableResetOnClose()
        return listOfNotNull(CHUNKED.takeUnless { isEndedByConnection })
    }

    /**
     * Lets the connection end normally; call it when the connection has accepted the whole body.
     *
     * @throws java.io.IOException if the connection is closed.
     */
    fun complete() {
        if (isEndedByConnection) channel.setOption(SO_LINGER, LINGER_OFF)
    }

    private fun enableResetOnClose() {
        try {
            channel.setOption(SO_LINGER, 0)
        } catch (_: ClosedChannelException) {
            // The first write fails too and reports that the caller has disconnected.
        }
    }

    private companion object {
        const val LINGER_OFF = -1

        // Without this field, Jetty sends no chunks if the connection closes after the response.
        val CHUNKED = "transfer-encoding" to "chunked"
    }
}
