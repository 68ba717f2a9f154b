package org.celerywalk.gateway

import okhttp3.Response
import org.celerywalk.http.strict.MalformedResponses
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against an endpoint whose bytes are no HTTP response and reach a caller as a success. */
class MalformedResponseTest {
    private val fleet = TestFleet()
    private val response = AtomicReference("")

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a malformed response is lost, whatever it says`() {
        startWith("once" to "non_idempotent")
        val statements = listOf(SIGNATURE, "X-Not-Executed: 1")
        val responses = statements.map(::listOf)
            .flatMap { MalformedResponses.all("{}", it) + MalformedResponses.interimOnly(it) }
        responses.forEach { malformed ->
            response.set(malformed)
            assertEquals(502, call("once").use { it.code }, malformed)
        }
    }

    @Test
    fun `a malformed stream never looks complete`() {
        startWith("stream" to "streaming")
        val fields = listOf(SIGNATURE)
        (MalformedResponses.all("data: a\n\n", fields) + MalformedResponses.interimOnly(fields)).forEach { malformed ->
            response.set(malformed)
            val received = Socket("127.0.0.1", fleet.gateway.port).use { caller ->
                caller.soTimeout = 5_000
                val head = "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: u\r\nConnection: close\r\n"
                caller.getOutputStream().write("${head}Content-Length: 0\r\n\r\n".toByteArray())
                ReceivedResponse.read(caller)
            }
            assertFalse(received.isSuccess && received.isComplete, "$malformed\ngave\n${received.text}")
        }
    }

    @Test
    fun `a request that may be repeated is answered by another endpoint`() {
        val malformed = "HTTP/1.1 200 OK\r\n$SIGNATURE\r\nContent-Length; 2\r\n\r\n{}"
        val faulty = EndpointStandIn { _, socket -> socket.getOutputStream().write(malformed.toByteArray()) }
        fleet.add(faulty, slots = 8)
        fleet.add(EndpointStandIn(EndpointStandIn.responseScript(200, "sound")), slots = 1)
        fleet.start(TestFleet.route("safe", "idempotent", "\"max_attempts\":2"))
        val body = call("safe").use { it.body.string() }
        assertEquals("sound" to 1, body to faulty.receivedRequests.size)
    }

    @Test
    fun `an unusual but sound response is relayed`() {
        startWith("once" to "non_idempotent")
        MalformedResponses.sound("{}", listOf(SIGNATURE)).forEach { sound ->
            response.set(sound)
            val body = call("once").use { it.body.string() }
            assertEquals("{}", body, sound)
        }
    }

    private fun call(route: String): Response = fleet.gateway.client.newCall(fleet.request(route).build()).execute()

    private fun startWith(route: Pair<String, String>) {
        fleet.add { _, socket ->
            try {
                socket.getOutputStream().write(response.get().toByteArray(Charsets.ISO_8859_1))
            } catch (_: IOException) {
                // The gateway has closed the connection of a response that it refuses.
            }
        }
        fleet.start(TestFleet.route(route.first, route.second))
    }

    private companion object {
        const val SIGNATURE = "X-Response-Signature: s"
    }
}
