package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against requests that use KV cache of an account from before it became isolated (WALL, review case 9). */
class IsolatedAccountTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `once an account is isolated, no other one uses a scope that it has used`() {
        repeat(2) { addReplica(it) }
        configure(1, isIsolated = false)
        fleet.gateway.start()
        val shared = scopeOf("archive")
        assertEquals(shared, scopeOf("florist"))
        configure(2, isIsolated = true)
        awaitUntil { scopeOf("archive") != shared }
        val isolated = scopeOf("archive")
        assertEquals(2, setOf(shared, scopeOf("florist")).size)
        assertNotEquals(isolated, scopeOf("florist"))
        configure(3, isIsolated = false)
        awaitUntil { scopeOf("florist") == shared }
        assertEquals(shared, scopeOf("archive"))
    }

    private fun scopeOf(account: String): String {
        val request = fleet.request("r").header("Authorization", "Bearer key-of-$account").withPrompt("f:800,b:5")
        fleet.gateway.client.newCall(request.build()).execute().use {
            assertEquals(200, it.code)
            it.body.string()
        }
        val id = request.build().header("X-Attempt-Id")
        val received = fleet.endpoints.flatMap { it.receivedRequests }.first { it.fields["x-attempt-id"] == id }
        return received.fields.getValue("x-cache-salt")
    }

    private fun addReplica(index: Int) {
        val endpoint = fleet.add { request, socket -> answer(request, socket) }
        val entry = """{"backend":"s","address":"${endpoint.address}","zone":"dc","slots":64,"state":"ready",
            "models":[{"name":"m","version":1}]}"""
        fleet.store.put("servers", "i-$index", entry)
    }

    private fun answer(request: ReceivedRequest, socket: Socket) = if (request.requestLine.startsWith("GET")) {
        EndpointStandIn.responseScript(200, REPORT)(request, socket)
    } else {
        EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = true)(request, socket)
    }

    private fun configure(version: Int, isIsolated: Boolean) = fleet.store.put(
        "op",
        "config",
        """{"version":$version,"services":[$ENGINE_SERVICE],"routes":[${TestFleet.route("r", "streaming")}],
            "tenants":[${tenant("archive", isIsolated)},${tenant("florist", false)}]}""",
    )

    private fun tenant(name: String, isIsolated: Boolean) =
        """{"name":"$name","api_keys":["key-of-$name"],"isolated":$isIsolated,"rate_per_s":0,"burst":0}"""

    private companion object {
        const val REPORT = """{"models":[{"name":"m","version":1}],"sequence":0,"busy":false,"epoch":1,"next":1,
            "events":[]}"""
        const val ENGINE_SERVICE = """{"name":"s","engine":{"slots":64,"kv_capacity_tokens":100000,"kv_token_bytes":1,
            "link_mbps":1000,"models":[{"name":"m"}]}}"""
    }
}
