package org.celerywalk.entry

import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException

private const val LAST_CHUNK = "\r\n0\r\n\r\n"
private const val LINE_END_LENGTH = 2

/** Everything that a caller received on its connection. */
class RawResponse(val text: String, private val isReset: Boolean = false) {
    private val head = text.substringBefore("\r\n\r\n").lowercase()
    private val isChunked = "transfer-encoding: chunked" in head
    private val declaredLength = Regex("content-length: (\\d+)").find(head)?.let { it.groupValues[1].toInt() }

    /** Body with its framing, one char per byte. */
    val body = text.substringAfter("\r\n\r\n", "")

    /** Body without its framing; fails if it has chunks and one of them is cut. */
    val content: String get() = if (isChunked) decodeChunks() else body

    /** Whether an HTTP client takes the response for a complete one. */
    val isComplete: Boolean
        get() = when {
            isReset -> false
            isChunked -> body.endsWith(LAST_CHUNK)
            declaredLength != null -> body.length == declaredLength
            // Ends with its connection.
            else -> "\r\n\r\n" in text
        }

    private fun decodeChunks() = buildString {
        var start = 0
        while (start < body.length) {
            val lineEnd = body.indexOf("\r\n", start)
            val chunkStart = lineEnd + LINE_END_LENGTH
            val chunkEnd = chunkStart + body.substring(start, lineEnd).toInt(radix = 16)
            append(body, chunkStart, chunkEnd)
            start = chunkEnd + LINE_END_LENGTH
        }
    }
}

/** Caller on a raw socket, whose small buffer fills up while it does not read. */
class RawCaller(port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        receiveBufferSize = BUFFER_BYTES
        soTimeout = READ_TIMEOUT_MILLIS
        connect(InetSocketAddress("127.0.0.1", port))
    }

    /** Number of received bytes that have not been read. */
    val availableBytes: Int get() = socket.getInputStream().available()

    /** Posts [json]; [protocol] is the protocol version, with header fields in further lines. */
    fun post(path: String, json: String, protocol: String) = socket.getOutputStream().write(
        (
            "POST $path $protocol\r\nx-api-key: ${EntryFixture.KEY}\r\nIdempotency-Key: b-1\r\n" +
                "Content-Length: ${json.length}\r\n\r\n$json"
            ).toByteArray(),
    )

    /** Sends the head of a request with a body of [length] bytes, without the body. */
    fun postHead(path: String, length: Int, protocol: String) = send(
        "POST $path $protocol\r\nx-api-key: ${EntryFixture.KEY}\r\nIdempotency-Key: b-1\r\n" +
            "Content-Length: $length\r\n\r\n",
    )

    fun send(text: String) = socket.getOutputStream().write(text.toByteArray())

    fun skipAvailable() = socket.getInputStream().skipNBytes(availableBytes.toLong())

    fun get(path: String, protocol: String) =
        socket.getOutputStream().write("GET $path $protocol\r\n\r\n".toByteArray())

    /** Reads until the connection or a chunked body ends. */
    fun readToEnd(): RawResponse {
        val text = StringBuilder()
        val isReset = try {
            generateSequence { if (text.endsWith(LAST_CHUNK)) null else readByte() }.forEach { text.append(it) }
            false
        } catch (_: SocketException) {
            true
        }
        return RawResponse(text.toString(), isReset)
    }

    override fun close() = socket.close()

    private fun readByte(): Char? = socket.getInputStream().read().takeIf { it >= 0 }?.toChar()

    companion object {
        private const val BUFFER_BYTES = 4_096
        private const val READ_TIMEOUT_MILLIS = 20_000

        /** Protocol lines of connections that stay open, that close after the response, and of HTTP/1.0. */
        val PROTOCOLS = listOf(
            "HTTP/1.1\r\nHost: e",
            "HTTP/1.1\r\nHost: e\r\nConnection: close",
            "HTTP/1.0",
            "HTTP/1.0\r\nConnection: keep-alive",
        )
    }
}
