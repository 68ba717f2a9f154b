package org.celerywalk.http.strict

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Server that answers every request with [response] as it stands, and then closes or resets the connection. */
public class RawServer(private val response: String, private val endsWithReset: Boolean = false) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val requests = AtomicInteger()
    public val url: String = "http://127.0.0.1:${server.localPort}"

    /** Number of requests that were received. */
    public val requestCount: Int get() = requests.get()

    init {
        thread(isDaemon = true) { generateSequence { runCatching(::answer).getOrNull() }.forEach { _ -> } }
    }

    override fun close() = server.close()

    private fun answer() = server.accept().use { socket ->
        val input = socket.getInputStream().buffered()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().toChar())
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.let { it.groupValues[1].toInt() } ?: 0
        input.readNBytes(length)
        requests.incrementAndGet()
        socket.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1))
        if (endsWithReset) socket.setSoLinger(true, 0)
    }
}
