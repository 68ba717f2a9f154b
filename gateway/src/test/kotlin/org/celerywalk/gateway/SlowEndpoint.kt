package org.celerywalk.gateway

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Endpoint that reads each request slowly but steadily, 160 KB/s, and answers it after [BODY_BYTES] of its body. */
internal class SlowEndpoint : AutoCloseable {
    private val server = ServerSocket().apply {
        receiveBufferSize = READ_BYTES
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    }
    val address = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { server.accept() }.onSuccess { thread(isDaemon = true) { serve(it) } }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) = socket.use {
        var bytes = 0
        while (bytes < BODY_BYTES) {
            Thread.sleep(PAUSE_MILLIS)
            bytes += it.getInputStream().readNBytes(minOf(READ_BYTES, BODY_BYTES - bytes)).size
        }
        // The head of the request is what is left to read.
        val head = "HTTP/1.1 200 X\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
        it.getOutputStream().write(head.toByteArray())
        it.shutdownOutput()
        it.getInputStream().readAllBytes()
    }

    companion object {
        /** Size in bytes of the bodies of requests. */
        const val BODY_BYTES = 1024 * 1024

        private const val READ_BYTES = 8 * 1024
        private const val PAUSE_MILLIS = 50L
    }
}
