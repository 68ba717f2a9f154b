package org.celerywalk.gateway

import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Guards against requests to an endpoint that has stated in a response that it is leaving or wants none for a time,
 * whatever the registry says.
 */
class EndpointNoticeTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `an endpoint that says in any response that it is leaving gets no further request`() {
        val statuses = listOf(200, 404, 500)
        statuses.forEach { status ->
            addPair("s-$status", EndpointStandIn.responseScript(status, "first", LEAVING, "X-Response-Signature: s"))
        }
        start(statuses.map { "s-$it" })
        statuses.forEachIndexed { i, status ->
            assertEquals("first", call("s-$status").body.string())
            repeat(10) { assertEquals("second", call("s-$status").body.string()) }
            assertEquals(1, fleet.endpoints[2 * i].receivedRequests.size, "status $status")
        }
    }

    @Test
    fun `a statement in a stream, a refusal or a lost response counts as well`() {
        val refusal = EndpointStandIn.responseScript(503, "", LEAVING, "X-Not-Executed: 1")
        addPair("refusal", refusal)
        addPair("lost") { request, socket ->
            val fields = "X-Attempt-Id: ${request.fields["x-attempt-id"]}\r\n$LEAVING\r\nContent-Length: 9"
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n$fields\r\n\r\nab".toByteArray())
        }
        start(listOf("refusal", "lost"))
        listOf("refusal", "lost").forEachIndexed { i, service ->
            call(service).close()
            repeat(10) { assertEquals("second", call(service).body.string()) }
            assertEquals(1, fleet.endpoints[2 * i].receivedRequests.size, service)
        }
    }

    @Test
    fun `the statement is not relayed to the caller`() {
        addPair("s", EndpointStandIn.responseScript(200, "first", LEAVING))
        start(listOf("s"))
        assertNull(call("s").use { it.header("Server-Leaving") })
    }

    @Test
    fun `an endpoint of which a peer says that it is leaving gets no request`() {
        addPair("s", EndpointStandIn.responseScript(200, "first"))
        start(listOf("s"))
        fleet.sendAsPeer("""{"name":"peer","number":1,"leaving":[["i-0"]]}""")
        awaitUntil { call("s").body.string() == "second" }
        repeat(10) { assertEquals("second", call("s").body.string()) }
    }

    @Test
    fun `an endpoint that asks for a pause with a refusal gets no request during it`() {
        addPair("s", EndpointStandIn.responseScript(503, "", "X-Not-Executed: 1", "Retry-After: 20"))
        start(listOf("s"))
        repeat(10) { assertEquals("second", call("s").body.string()) }
        assertEquals(1, fleet.endpoints.first().receivedRequests.size)
    }

    @Test
    fun `a caller is told at once when the only endpoint ends its pause`() {
        fleet.add("s", EndpointStandIn.responseScript(503, "", "X-Not-Executed: 1", "Retry-After: 20"))
        start(listOf("s"))
        val start = TimeSource.Monotonic.markNow()
        repeat(5) {
            call("s").use { response ->
                assertEquals(503, response.code)
                assertTrue(response.header("Retry-After").orEmpty().toDouble() in 15.0..30.0, "${response.headers}")
            }
        }
        assertTrue(start.elapsedNow() < 3.seconds)
        assertEquals(1, fleet.endpoints.single().receivedRequests.size)
    }

    // The gateway prefers the first endpoint of the pair, which has more slots.
    private fun addPair(service: String, script: (ReceivedRequest, java.net.Socket) -> Unit) {
        fleet.add(EndpointStandIn(script), service, slots = 64)
        fleet.add(service, EndpointStandIn.responseScript(200, "second"))
    }

    private fun start(services: List<String>) = fleet.start(
        *services.map { TestFleet.route(it, "non_idempotent", "\"max_attempts\":2", service = it) }.toTypedArray(),
    )

    private fun call(route: String): Response = fleet.gateway.client.newCall(fleet.request(route).build()).execute()

    private companion object {
        const val LEAVING = "Server-Leaving: 1"
    }
}
