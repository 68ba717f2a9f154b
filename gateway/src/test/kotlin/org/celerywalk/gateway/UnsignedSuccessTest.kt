package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a success that reaches a caller although the endpoint has not signed it, so that it isn't its own. */
class UnsignedSuccessTest {
    private val fleet = TestFleet()
    private val unsigned = EndpointStandIn { request, socket ->
        val head = "HTTP/1.1 200 X\r\nX-Attempt-Id: ${request.fields["x-attempt-id"]}\r\n"
        socket.getOutputStream().write("${head}Content-Length: 7\r\n\r\nERROR\n\n".toByteArray())
    }
    private val signed = EndpointStandIn(EndpointStandIn.responseScript(200, "done"))

    @AfterEach
    fun close() {
        fleet.close()
        signed.close()
    }

    @Test
    fun `an unsigned success counts as a lost response`() {
        start(unsigned)
        listOf("once", "stream", "resume", "safe").forEach { assertEquals(502 to 0, call(it), it) }
        assertEquals(4, unsigned.receivedRequests.size)
    }

    @Test
    fun `an idempotent request with an unsigned success is retried at another endpoint`() {
        start(unsigned, signed)
        repeat(4) { assertEquals(200 to 4, call("safe")) }
    }

    // Returns the status and, for a success, the number of bytes of the body.
    private fun call(route: String): Pair<Int, Int> =
        fleet.gateway.client.newCall(fleet.request(route).build()).execute()
            .use { it.code to if (it.isSuccessful) it.body.bytes().size else 0 }

    // The gateway prefers the first endpoint, which has the most slots.
    private fun start(vararg endpoints: EndpointStandIn) {
        endpoints.forEachIndexed { i, endpoint -> fleet.add(endpoint, slots = if (i == 0) 64 else 4) }
        fleet.start(
            TestFleet.route("once", "non_idempotent", MAX_ATTEMPTS),
            TestFleet.route("safe", "idempotent", MAX_ATTEMPTS),
            TestFleet.route("stream", "streaming", MAX_ATTEMPTS),
            TestFleet.route("resume", "streaming", "\"resumable\":true,$MAX_ATTEMPTS"),
        )
    }

    private companion object {
        const val MAX_ATTEMPTS = "\"max_attempts\":2"
    }
}
