package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against a stream that an endpoint broke off and that reaches its caller as if it were complete. */
class BrokenOffStreamTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a stream that breaks off in its chunks`() =
        assertBrokenOff("Transfer-Encoding: chunked\r\n\r\n$CHUNKED_EVENT")

    @Test
    fun `a stream that breaks off before its length`() =
        assertBrokenOff("Content-Length: ${EVENT.length + 1}\r\n\r\n$EVENT")

    @Test
    fun `a stream of the announced length that ends within an event`() =
        assertBrokenOff("Content-Length: ${EVENT.length + 2}\r\n\r\n${EVENT}id")

    @Test
    fun `a stream without length that ends within an event`() = assertBrokenOff("\r\n${EVENT}id: 2\ndata")

    @Test
    fun `a stream without length that ends before its first event`() = assertBrokenOff("\r\n")

    // Guards against an empty success, also outside streams, from an endpoint that fails between head and body.
    @Test
    fun `a buffered response without length that ends before its first byte`() {
        var response = "\r\n"
        start { response }
        CALLERS.forEach { (version, fields) -> assertIncomplete(version, call("once", version, fields)) }
        response = "Content-Length: 0\r\n\r\n"
        CALLERS.forEach { (version, fields) ->
            val received = call("once", version, fields)
            assertEquals(true, received.isSuccess && received.isComplete, "$version $received")
        }
    }

    @Test
    fun `an empty stream that its framing completes is complete`() {
        var response = ""
        start { response }
        listOf("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n").forEach {
            response = it
            forEachCaller { description, received ->
                assertEquals(true, received.isSuccess && received.isComplete, "$description\n$it\n$received")
            }
        }
    }

    @Test
    fun `a stream that breaks off while the gateway stops`() {
        start("Transfer-Encoding: chunked\r\n\r\n$CHUNKED_EVENT")
        val stop = CompletableFuture.runAsync(fleet.gateway::stop)
        awaitUntil { !fleet.gateway.isReady() }
        ROUTES.forEach { route -> assertIncomplete("$route, HTTP/1.1", call(route, "HTTP/1.1", "")) }
        stop.get(30, TimeUnit.SECONDS)
    }

    @Test
    fun `a complete stream is complete for each caller`() {
        val responses = listOf(
            "Transfer-Encoding: chunked\r\n\r\n${CHUNKED_EVENT}0\r\n\r\n",
            "Content-Length: ${EVENT.length}\r\n\r\n$EVENT",
            "\r\n$EVENT",
        )
        var response = ""
        start { response }
        responses.forEach {
            response = it
            forEachCaller { description, received ->
                assertEquals(true, received.isComplete, "$description\n$it\n$received")
                assertContains(received.text, EVENT, message = description)
            }
        }
    }

    private fun assertBrokenOff(fieldsAndBody: String) {
        start(fieldsAndBody)
        forEachCaller(::assertIncomplete)
    }

    private fun assertIncomplete(description: String, received: ReceivedResponse) =
        assertEquals(false, received.isSuccess && received.isComplete, "$description\n$received")

    private fun forEachCaller(check: (String, ReceivedResponse) -> Unit) = ROUTES.forEach { route ->
        CALLERS.forEach { (version, fields) -> check("$route, $version, $fields", call(route, version, fields)) }
    }

    private fun start(fieldsAndBody: String) = start { fieldsAndBody }

    private fun start(fieldsAndBody: () -> String) {
        fleet.add { request, socket ->
            val attemptId = request.fields["x-attempt-id"]
            val head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $attemptId\r\nX-Response-Signature: s\r\n"
            socket.getOutputStream().write((head + fieldsAndBody()).toByteArray())
        }
        fleet.start(
            TestFleet.route("stream", "streaming"),
            TestFleet.route("resume", "streaming", """"resumable":true,"max_attempts":1"""),
            TestFleet.route("once", "idempotent"),
        )
    }

    private fun call(route: String, version: String, fields: String): ReceivedResponse =
        Socket("127.0.0.1", fleet.gateway.port).use { socket ->
            socket.soTimeout = MAX_SILENCE_MILLIS
            val request = "POST /$route/x $version\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 4000\r\n" +
                "Content-Length: 1\r\n$fields\r\np"
            socket.getOutputStream().write(request.toByteArray())
            ReceivedResponse.read(socket)
        }

    private companion object {
        // A connection that is kept after a complete response is silent for this time.
        const val MAX_SILENCE_MILLIS = 500
        const val EVENT = "id: 1\ndata: a\n\n"
        const val CHUNKED_EVENT = "f\r\n$EVENT\r\n"
        val ROUTES = listOf("stream", "resume")
        val CALLERS = listOf(
            "HTTP/1.1" to "",
            "HTTP/1.1" to "Connection: close\r\n",
            "HTTP/1.0" to "",
            "HTTP/1.0" to "Connection: keep-alive\r\n",
        )
    }
}
