package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request whose caller breaks off its body and that an endpoint runs as if it were complete. */
class CutRequestTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a request whose body breaks off is not passed on`() {
        val endpoint = fleet.add(script = EndpointStandIn.responseScript(200, "done"))
        fleet.start(TestFleet.route("once", "non_idempotent"))
        cutBodies.forEach { body ->
            listOf(false, true).forEach { isReset -> send(body, isReset) }
            assertEquals(200, fleet.gateway.client.newCall(fleet.request("once").build()).execute().use { it.code })
        }
        assertEquals(List(cutBodies.size) { "p" }, endpoint.receivedRequests.map { it.body })
    }

    private fun send(body: String, isReset: Boolean) = Socket("127.0.0.1", fleet.gateway.port).use { caller ->
        val head = "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: u\r\nX-Deadline-Ms: 4000\r\n"
        caller.getOutputStream().write((head + body).toByteArray())
        if (isReset) {
            caller.setSoLinger(true, 0)
        } else {
            caller.soTimeout = 5_000
            caller.shutdownOutput()
            ReceivedResponse.read(caller)
        }
    }

    private companion object {
        // A chunked body is complete with its last chunk, also without the line after it (RFC 9112, section 8).
        val cutBodies = listOf(
            "Content-Length: 5\r\n\r\n",
            "Content-Length: 5\r\n\r\nswap",
            "Transfer-Encoding: chunked\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nswap",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nswap\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nswap\r\n0\r",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nswapX\r\n0\r\n\r\n",
        )
    }
}
