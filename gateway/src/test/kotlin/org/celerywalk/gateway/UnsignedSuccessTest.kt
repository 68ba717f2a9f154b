package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a success that reaches a caller although the endpoint has not signed it, so that it isn't its own. */
class UnsignedSuccessTest {
    private val store = StoreStandIn()
    private val gateway = TestGateway(store)
    private val unsigned = EndpointStandIn { request, socket ->
        val head = "HTTP/1.1 200 X\r\nX-Attempt-Id: ${request.fields["x-attempt-id"]}\r\n"
        socket.getOutputStream().write("${head}Content-Length: 7\r\n\r\nERROR\n\n".toByteArray())
    }
    private val signed = EndpointStandIn(EndpointStandIn.responseScript(200, "done"))

    @AfterEach
    fun close() {
        store.close()
        unsigned.close()
        signed.close()
    }

    @Test
    fun `an unsigned success counts as a lost response`() {
        start(listOf(unsigned))
        listOf("once", "stream", "resume", "safe").forEach { assertEquals(502 to 0, call(it), it) }
        assertEquals(4, unsigned.receivedRequests.size)
    }

    @Test
    fun `an idempotent request with an unsigned success is retried at another endpoint`() {
        start(listOf(unsigned, signed))
        repeat(4) { assertEquals(200 to 4, call("safe")) }
    }

    // Returns the status and, for a success, the number of bytes of the body.
    private fun call(route: String): Pair<Int, Int> = gateway.client.newCall(
        Request.Builder().url("${gateway.url}/$route/x").header("X-Attempt-Id", "this")
            .header("X-Deadline-Ms", "4000").post("swap".toRequestBody()).build(),
    ).execute().use { it.code to if (it.isSuccessful) it.body.bytes().size else 0 }

    private fun start(endpoints: List<EndpointStandIn>) {
        val types = mapOf(
            "once" to """"non_idempotent"""",
            "safe" to """"idempotent"""",
            "stream" to """"streaming"""",
            "resume" to """"streaming","resumable":true""",
        )
        val routes = types.map { (name, type) ->
            """{"name":"$name","hostname":"127.0.0.1","prefix":"/$name/","backend":"s","timeout_ms":5000,
                "max_attempts":2,"type":$type}"""
        }
        store.put("op", "config", """{"version":1,"services":[],"routes":[${routes.joinToString(",")}]}""")
        endpoints.forEachIndexed { i, endpoint ->
            val slots = if (i == 0) 64 else 4
            val service = """"backend":"s","address":"${endpoint.address}""""
            store.put("servers", "i-$i", """{$service,"zone":"dc","slots":$slots,"state":"ready"}""")
        }
        gateway.start()
    }
}
