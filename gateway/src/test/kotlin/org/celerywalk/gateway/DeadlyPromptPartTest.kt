package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/**
 * Guards against requests that crash one endpoint after the other, since a part of their prompt crashes each endpoint
 * that begins to answer it.
 */
class DeadlyPromptPartTest {
    private val store = StoreStandIn()
    private val gateway = TestGateway(store)
    private val endpoints = List(ENDPOINTS) { EndpointStandIn { request, socket -> answer(request, socket) } }

    @AfterEach
    fun close() {
        store.close()
        endpoints.forEach { it.close() }
    }

    @Test
    fun `requests with a part under which two endpoints crashed are refused at once, others are served`() {
        start()
        assertEquals(listOf(502, 502), List(2) { status("stream", "$FIRST,dead:5,a$it:1") })
        repeat(5) {
            call("stream", "$FIRST,dead:5,b$it:1").use { response ->
                assertEquals(503, response.code)
                assertNotNull(response.header("Retry-After"))
            }
            assertEquals(200, status("stream", "$FIRST,e$it:5,c$it:1"))
        }
        assertEquals(2, crashedCount())
    }

    @Test
    fun `a request is not sent again once its part is quarantined, and its answer does not say that it has not run`() {
        start()
        assertEquals(502, status("resume", "$FIRST,dead:5,a:1"))
        assertEquals(2, crashedCount())
    }

    @Test
    fun `a part that other gateways saw under two crashes is refused by this one too`() {
        start()
        val parts = """"dead":{"crashes":{"e-1":900,"e-2":100}},"51":{"crashes":{"e-3":900,"e-4":100}}"""
        sendAsPeer("""{"name":"p","number":1,"suspects":{$parts}}""")
        // Part 51 crashes no endpoint and shows that the message has arrived.
        awaitUntil { status("stream", "$FIRST,51:5,a:1") == 503 }
        assertEquals(503, status("stream", "$FIRST,dead:5,a:1"))
        assertEquals(200, status("stream", "$FIRST,e:5,a:1"))
        assertEquals(0, crashedCount())
    }

    @Test
    fun `an endpoint that resets connections but goes on to serve has not crashed`() {
        start()
        repeat(4) { assertEquals(502, status("stream", "$FIRST,bad:5,a$it:1")) }
        assertEquals(0, crashedCount())
    }

    private fun answer(request: ReceivedRequest, socket: Socket) {
        // The gateway checks with a connection without a request whether an endpoint still listens.
        val prompt = request.fields["x-prompt-prefix"] ?: return
        when {
            "dead" in prompt -> endpoints.first { it.address.endsWith(":${socket.localPort}") }.close()
            "bad" in prompt -> socket.setSoLinger(true, 0)
            else -> EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = true)(request, socket)
        }
    }

    private fun crashedCount() = endpoints.count { it.isClosed }

    private fun start() {
        store.put("op", "config", CONFIGURATION)
        endpoints.forEachIndexed { index, endpoint ->
            val text = """{"backend":"s","address":"${endpoint.address}","zone":"dc","slots":64,"state":"ready"}"""
            store.put("servers", "i-$index", text)
        }
        gateway.start()
    }

    private fun sendAsPeer(message: String) = DatagramSocket().use {
        val address = InetAddress.getByName("127.0.0.1")
        it.send(DatagramPacket(message.toByteArray(), message.length, address, gateway.peerPort))
    }

    private fun status(route: String, prompt: String) = call(route, prompt).use {
        if (it.code == OK) it.body.string()
        it.code
    }

    private fun call(route: String, prompt: String): Response = gateway.client.newCall(
        Request.Builder().url("${gateway.url}/$route/x").header("X-Attempt-Id", "a-${System.nanoTime()}")
            .header("X-Deadline-Ms", "4000").header("X-Model", "m").header("X-Token-Usage", "20,5")
            .header("X-Prompt-Prefix", prompt).post("p".toRequestBody()).build(),
    ).execute()

    private companion object {
        const val ENDPOINTS = 6
        const val OK = 200
        const val FIRST = "f:10"
        const val CONFIGURATION = """{"version":1,"services":[{"name":"s"}],"routes":[
            {"name":"stream","hostname":"127.0.0.1","prefix":"/stream/","backend":"s","timeout_ms":5000,
             "type":"streaming","max_attempts":1},
            {"name":"resume","hostname":"127.0.0.1","prefix":"/resume/","backend":"s","timeout_ms":5000,
             "type":"streaming","resumable":true,"max_attempts":4}]}"""
    }
}
