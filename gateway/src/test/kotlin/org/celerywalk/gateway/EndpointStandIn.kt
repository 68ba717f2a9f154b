package org.celerywalk.gateway

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Holds a request that arrived at a stand-in. */
internal class ArrivedRequest(val line: String, val fields: Map<String, String>, val body: String)

/** Stands in for an endpoint: answers each connection's request by [script], then closes the connection. */
internal class EndpointStandIn(private val script: (ArrivedRequest, Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val address = "127.0.0.1:${server.localPort}"
    val arrived = CopyOnWriteArrayList<ArrivedRequest>()

    /** Opens when a caller closes its connection before the answer. */
    val abandoned = CountDownLatch(1)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { server.accept() }.onSuccess { thread(isDaemon = true) { serve(it) } }
        }
    }

    override fun close() {
        server.close()
    }

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream()
        val line = input.line()
        val fields = generateSequence { input.line().ifEmpty { null } }
            .associate { field -> field.substringBefore(':').lowercase() to field.substringAfter(':').trim() }
        val body = String(input.readNBytes(fields["content-length"]?.toInt() ?: 0))
        val request = ArrivedRequest(line, fields, body)
        arrived += request
        script(request, it)
    }

    private fun InputStream.line(): String =
        generateSequence { read().takeIf { it >= 0 && it != '\n'.code } }.map { it.toChar() }.joinToString("").trim()

    companion object {
        /** Answers with [status] and [body], echoing the attempt's id. */
        fun answer(status: Int, body: String, vararg fields: String): (ArrivedRequest, Socket) -> Unit =
            { request, socket ->
                val head = listOf(
                    "HTTP/1.1 $status X",
                    "X-Attempt-Id: ${request.fields["x-attempt-id"]}",
                    "Content-Length: ${body.length}",
                ) + fields
                socket.getOutputStream().write((head.joinToString("\r\n") + "\r\n\r\n" + body).toByteArray())
            }

        /** Sends [events] in chunks, and the end of the stream only if [whole]. */
        fun stream(events: String, whole: Boolean): (ArrivedRequest, Socket) -> Unit = { _, socket ->
            val head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            val chunk = "${events.length.toString(16)}\r\n$events\r\n"
            socket.getOutputStream().write((head + chunk + if (whole) "0\r\n\r\n" else "").toByteArray())
        }
    }
}
