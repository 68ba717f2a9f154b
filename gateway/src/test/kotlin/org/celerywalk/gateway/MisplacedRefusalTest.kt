package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a refusal of an earlier request that is taken for the refusal of the present one: its caller would be
 * told that the request did not run, or it would run at a second endpoint.
 */
class MisplacedRefusalTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a request that another request's refusal answers counts as run`() {
        refusals.forEachIndexed { i, (status, fields) -> addPair(i, "X-Attempt-Id: another", status, fields) }
        start(refusals.size)
        refusals.forEachIndexed { i, refusal ->
            assertEquals(502, call("once-$i"), "$refusal")
            assertEquals(1, receivedCount(i), "$refusal")
        }
    }

    @Test
    fun `a refusal that names the request, or none, is believed`() {
        val fields = listOf("X-Attempt-Id: ATTEMPT", "X-Other: x")
        fields.forEachIndexed { i, field -> addPair(i, field, 503, NOT_EXECUTED) }
        start(fields.size)
        fields.indices.forEach {
            assertEquals(503, call("once-$it"))
            assertEquals(2, receivedCount(it))
        }
    }

    /** Guards against a caller that is told "not run, try again" by a status whose endpoint has not stated that. */
    @Test
    fun `a status that promises that a request did not run is not relayed unless the endpoint states so`() {
        val statuses = listOf(408, 429, 503)
        statuses.forEachIndexed { i, status -> addPair(i, "X-Attempt-Id: ATTEMPT", status, SIGNED) }
        start(statuses.size)
        statuses.forEachIndexed { i, status ->
            assertEquals(502, call("once-$i"), "status $status")
            assertEquals(1, receivedCount(i))
        }
    }

    // Adds two endpoints of the service s-INDEX, which answer each request alike.
    private fun addPair(index: Int, idField: String, status: Int, fields: String) = repeat(2) {
        fleet.add("s-$index") { request, socket ->
            val field = idField.replace("ATTEMPT", request.fields["x-attempt-id"].orEmpty())
            val head = "HTTP/1.1 $status X\r\n$field\r\n${fields}Content-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
        }
    }

    private fun start(serviceCount: Int) {
        val routes = List(serviceCount) {
            TestFleet.route("once-$it", "non_idempotent", "\"max_attempts\":2", service = "s-$it")
        }
        fleet.start(*routes.toTypedArray())
    }

    private fun receivedCount(index: Int) =
        fleet.endpoints.slice(2 * index..2 * index + 1).sumOf { it.receivedRequests.size }

    private fun call(route: String): Int =
        fleet.gateway.client.newCall(fleet.request(route).build()).execute().use { it.code }

    private companion object {
        const val SIGNED = "X-Response-Signature: s\r\n"
        const val NOT_EXECUTED = "X-Not-Executed: 1\r\n"
        val refusals = listOf(503 to NOT_EXECUTED, 429 to NOT_EXECUTED, 421 to NOT_EXECUTED, 421 to "")
    }
}
