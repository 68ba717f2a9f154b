package org.celerywalk.gateway

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Request that a stand-in received; the names of [fields] are in lower case. */
internal class ReceivedRequest(val requestLine: String, val fields: Map<String, String>, val body: String)

/** Test double of an endpoint: handles one request per connection with [script], then closes the connection. */
internal class EndpointStandIn(private val script: (ReceivedRequest, Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val address = "127.0.0.1:${server.localPort}"
    val receivedRequests = CopyOnWriteArrayList<ReceivedRequest>()

    /** Counted down by a script when the gateway closes its connection before the response. */
    val disconnected = CountDownLatch(1)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { server.accept() }.onSuccess { thread(isDaemon = true) { serve(it) } }
        }
    }

    /** True once the stand-in accepts no more connections. */
    val isClosed: Boolean get() = server.isClosed

    override fun close() {
        server.close()
    }

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream()
        val requestLine = input.readHeaderLine()
        // A gateway of an earlier test may still call its store, whose port this stand-in has got.
        if (STORE_CALL in requestLine) return@use
        val fields = generateSequence { input.readHeaderLine().ifEmpty { null } }
            .associate { field -> field.substringBefore(':').lowercase() to field.substringAfter(':').trim() }
        val body = String(input.readNBytes(fields["content-length"]?.toInt() ?: 0))
        val request = ReceivedRequest(requestLine, fields, body)
        receivedRequests += request
        script(request, it)
    }

    private fun InputStream.readHeaderLine(): String =
        generateSequence { read().takeIf { it >= 0 && it != '\n'.code } }.map { it.toChar() }.joinToString("").trim()

    companion object {
        private const val STORE_CALL = " /v1/rows-"
        private const val SIGNATURE = "X-Response-Signature"
        private val SUCCESSES = 200..299

        /**
         * Returns a script that responds with [status] and [body] and echoes the attempt ID. Successes are signed, as
         * those of endpoints are, if [fields] have no signature.
         */
        fun responseScript(status: Int, body: String, vararg fields: String): (ReceivedRequest, Socket) -> Unit =
            { request, socket ->
                val isSigned = status !in SUCCESSES || fields.any { it.startsWith(SIGNATURE) }
                val signature = if (isSigned) emptyList() else listOf("$SIGNATURE: s")
                val head = listOf(
                    "HTTP/1.1 $status X",
                    "X-Attempt-Id: ${request.fields["x-attempt-id"]}",
                    "Content-Length: ${body.length}",
                ) + signature + fields
                socket.getOutputStream().write((head.joinToString("\r\n") + "\r\n\r\n" + body).toByteArray())
            }

        /** Returns a script that sends [events] as one chunk, and the end of the stream only if [isComplete]. */
        fun stream(events: String, isComplete: Boolean): (ReceivedRequest, Socket) -> Unit = { _, socket ->
            val head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            val chunk = "${events.length.toString(16)}\r\n$events\r\n"
            socket.getOutputStream().write((head + chunk + if (isComplete) "0\r\n\r\n" else "").toByteArray())
        }
    }
}
