package org.celerywalk.http.strict

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Server that answers with [response] once it has the head of a request, and then does what [end] says. */
public class EarlyServer(private val response: String, private val end: End) : AutoCloseable {
    /** How the server goes on after its response. */
    public enum class End {
        /** Resets the connection while the client still sends. */
        RESET,

        /** Ends its own direction of the connection, and reads the rest of the request. */
        HALF_CLOSE,

        /** Reads the rest of the request, and closes the connection after it. */
        CLOSE_AFTER_REQUEST,
    }

    // A small receive buffer, so that a large request can't be written before the server reads it.
    private val server = ServerSocket().apply {
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    }
    public val address: String = "127.0.0.1:${server.localPort}"
    public val url: String = "http://$address"

    init {
        thread(isDaemon = true) { generateSequence { runCatching(::answer).getOrNull() }.forEach { _ -> } }
    }

    override fun close(): Unit = server.close()

    private fun answer() = server.accept().use { socket ->
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        // The client is within the body by then.
        Thread.sleep(PAUSE_MILLIS)
        socket.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1))
        when (end) {
            End.RESET -> socket.setSoLinger(true, 0)
            End.HALF_CLOSE -> socket.also { it.shutdownOutput() }.readRest(head)
            End.CLOSE_AFTER_REQUEST -> socket.readRest(head)
        }
    }

    private fun Socket.readRest(head: StringBuilder) {
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.let { it.groupValues[1].toInt() }
        val input = getInputStream().buffered()
        if (length != null) input.skipNBytes(length.toLong()) else while (input.read() != LAST_BYTE) Unit
    }

    public companion object {
        /** Size in bytes of a body that the connection does not hold, so that the client is writing it for long. */
        public const val LARGE_BODY_BYTES: Int = 4 * 1024 * 1024

        /** Byte that the body of a request without a length has only at its end. */
        public const val LAST_BYTE: Int = '!'.code

        private const val RECEIVE_BUFFER_BYTES = 4 * 1024
        private const val PAUSE_MILLIS = 100L

        /** Responses of 200 with [body], by whether their end can be told from the end of the connection. */
        public fun responses(body: String, fields: String = ""): Map<Boolean, List<String>> = mapOf(
            false to listOf("HTTP/1.1 200 OK\r\n$fields\r\n$body", "HTTP/1.0 200 OK\r\n$fields\r\n$body"),
            true to listOf(
                "HTTP/1.1 200 OK\r\n${fields}Content-Length: ${body.length}\r\n\r\n$body",
                "HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n" +
                    "${body.length.toString(radix = 16)}\r\n$body\r\n0\r\n\r\n",
            ),
        )
    }
}
