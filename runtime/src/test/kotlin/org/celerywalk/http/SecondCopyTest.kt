package org.celerywalk.http

import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a response that is a late second copy of another one, sent on a connection that is in use again. */
class SecondCopyTest {
    private val limits = HttpLimits(5.seconds, 5.seconds, 1, 4)

    @Test
    fun `a call of the table gets its own response`() = RepeatingServer().use { server ->
        HttpTable(server.url, limits).use { table ->
            val versions = List(CALLS) {
                val transaction = Transaction(emptyList(), listOf(Write.Put("key-$it", "")))
                table.transact(transaction).get().getOrNull()
            }
            assertEquals(List(CALLS) { TransactionResult.Committed(it + 1L) }, versions)
        }
    }

    /** Numbers its responses, and sends a copy of the last one as soon as the next request on its connection begins. */
    private class RepeatingServer : AutoCloseable {
        private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
        val url = "http://127.0.0.1:${server.localPort}"
        private var number = 0

        init {
            thread(isDaemon = true) {
                generateSequence { runCatching { server.accept() }.getOrNull() }.forEach { socket ->
                    thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
                }
            }
        }

        override fun close() = server.close()

        private fun serve(socket: Socket) {
            val input = socket.getInputStream().buffered()
            var lastResponse = ByteArray(0)
            while (true) {
                val head = StringBuilder()
                while (!head.endsWith("\r\n\r\n")) {
                    head.append(input.read().also { check(it >= 0) { "the connection has ended" } }.toChar())
                }
                socket.getOutputStream().write(lastResponse)
                val length = Regex("(?i)content-length: (\\d+)").find(head)?.let { it.groupValues[1].toInt() } ?: 0
                input.readNBytes(length)
                val body = """{"committed":${synchronized(this) { ++number }}}"""
                lastResponse = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body".toByteArray()
                socket.getOutputStream().write(lastResponse)
            }
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val CALLS = 5
    }
}
