package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a refusal of an earlier request that is taken for the refusal of the present one: its caller would be
 * told that the request did not run, or it would run at a second endpoint.
 */
class MisplacedRefusalTest {
    private val store = StoreStandIn()
    private val gateway = TestGateway(store)
    private val endpoints = mutableListOf<EndpointStandIn>()

    @AfterEach
    fun close() {
        store.close()
        endpoints.forEach { it.close() }
    }

    @Test
    fun `a request that another request's refusal answers counts as run`() {
        refusals.forEach { (status, fields) ->
            endpoints += List(2) { endpointOf("X-Attempt-Id: another", status, fields) }
        }
        start(endpoints)
        refusals.indices.forEach { service ->
            val ofService = endpoints.slice(2 * service..2 * service + 1)
            assertEquals(502, call("once-$service"), refusals[service].toString())
            assertEquals(1, ofService.sumOf { it.receivedRequests.size }, refusals[service].toString())
        }
    }

    @Test
    fun `a refusal that names the request, or none, is believed`() {
        listOf("X-Attempt-Id: ATTEMPT", "X-Other: x").forEach { field ->
            endpoints += List(2) { endpointOf(field, 503, "X-Not-Executed: 1\r\n") }
        }
        start(endpoints)
        listOf(0, 1).forEach { service ->
            assertEquals(503, call("once-$service"))
            assertEquals(2, endpoints.slice(2 * service..2 * service + 1).sumOf { it.receivedRequests.size })
        }
    }

    /** Guards against a caller that is told "not run, try again" by a status whose endpoint has not stated that. */
    @Test
    fun `a status that promises that a request did not run is not relayed unless the endpoint states so`() {
        val statuses = listOf(408, 429, 503)
        statuses.forEach { status -> endpoints += List(2) { endpointOf("X-Attempt-Id: ATTEMPT", status, SIGNED) } }
        start(endpoints)
        statuses.indices.forEach { service ->
            assertEquals(502, call("once-$service"), "status ${statuses[service]}")
            assertEquals(1, endpoints.slice(2 * service..2 * service + 1).sumOf { it.receivedRequests.size })
        }
    }

    private fun endpointOf(idField: String, status: Int, fields: String) = EndpointStandIn { request, socket ->
        val field = idField.replace("ATTEMPT", request.fields["x-attempt-id"].orEmpty())
        val head = "HTTP/1.1 $status X\r\n$field\r\n${fields}Content-Length: 0\r\n\r\n"
        socket.getOutputStream().write(head.toByteArray())
    }

    // Starts a gateway with two endpoints for each service.
    private fun start(endpoints: List<EndpointStandIn>) {
        val routes = (0 until endpoints.size / 2).joinToString(",") {
            """{"name":"once-$it","hostname":"127.0.0.1","prefix":"/once-$it/","backend":"s-$it","timeout_ms":5000,
                "type":"non_idempotent","max_attempts":2}"""
        }
        store.put("op", "config", """{"version":1,"services":[],"routes":[$routes]}""")
        endpoints.forEachIndexed { i, endpoint ->
            val service = """"backend":"s-${i / 2}","address":"${endpoint.address}""""
            store.put("servers", "i-$i", """{$service,"zone":"dc","slots":4,"state":"ready"}""")
        }
        gateway.start()
    }

    private fun call(route: String): Int = gateway.client.newCall(
        Request.Builder().url("${gateway.url}/$route/x").header("X-Attempt-Id", "this")
            .header("X-Deadline-Ms", "4000").post("swap".toRequestBody()).build(),
    ).execute().use { it.code }

    private companion object {
        const val SIGNED = "X-Response-Signature: s\r\n"
        const val NOT_EXECUTED = "X-Not-Executed: 1\r\n"
        val refusals = listOf(503 to NOT_EXECUTED, 429 to NOT_EXECUTED, 421 to NOT_EXECUTED, 421 to "")
    }
}
