package org.celerywalk.engine

import org.celerywalk.http.HttpLimits
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a generation that counts as not run, so that it runs at a second replica, because the engine has sent
 * the refusal of an earlier one again on a kept connection.
 */
class RepeatedRefusalTest {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val limits = HttpLimits(connectTimeout = 5.seconds, callTimeout = 5.seconds, 4, 4)
    private val engine = HttpEngine("http://127.0.0.1:${server.localPort}", limits, EngineStreamLimits(2, 5.seconds))

    @AfterEach
    fun close() {
        engine.close()
        server.close()
    }

    @Test
    fun `only the refusal of the same attempt shows that it was not run`() {
        val refused = """{"error":"the queue is full","not_run":true,"attempt_id":"a-1"}"""
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { server.accept() }.onSuccess { socket ->
                thread(isDaemon = true) { socket.use { refuseEach(it, refused) } }
            }
        }
        assertEquals(listOf(true, false, true), listOf("a-1", "a-2", "a-1").map(::isNotExecuted))
    }

    private fun isNotExecuted(attemptId: String): Boolean {
        val listener = FailureListener()
        engine.generate(EngineRequest(attemptId, "prompt", "scope", "1", emptyList(), 10, priority = 0), listener)
        return listener.error.get(8, TimeUnit.SECONDS).isNotExecuted
    }

    private fun refuseEach(socket: Socket, refusal: String) {
        val input = socket.getInputStream().bufferedReader()
        while (input.readLine() != null) {
            val head = generateSequence { input.readLine()?.ifEmpty { null } }.toList()
            val length = head.first { it.startsWith("Content-Length: ", ignoreCase = true) }.substringAfter(' ').toInt()
            repeat(length) { input.read() }
            val response = "HTTP/1.1 503 X\r\nContent-Length: ${refusal.length}\r\n\r\n$refusal"
            socket.getOutputStream().write(response.toByteArray())
        }
    }
}
