package org.celerywalk.gateway

import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/**
 * Guards against requests that crash one endpoint after the other, since a part of their prompt crashes each endpoint
 * that begins to answer it.
 */
class DeadlyPromptPartTest {
    private val fleet = TestFleet()
    private val held = CountDownLatch(1)

    @AfterEach
    fun close() = fleet.close()

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
        fleet.sendAsPeer("""{"name":"p","number":1,"suspects":{$parts}}""")
        fleet.gateway.awaitQuarantinedParts(2)
        // Part 51 crashes no endpoint.
        assertEquals(503, status("stream", "$FIRST,51:5,a:1"))
        assertEquals(503, status("stream", "$FIRST,dead:5,a:1"))
        assertEquals(200, status("stream", "$FIRST,e:5,a:1"))
        assertEquals(0, crashedCount())
    }

    // Guards against a harmful part that the beginning of each answer clears (review case 8).
    @Test
    fun `a part that crashes endpoints after the first event of an answer is quarantined`() {
        start()
        repeat(2) { call("stream", "$FIRST,1adead:5,a$it:1").use { runCatching { it.body.string() } } }
        assertEquals(503, status("stream", "$FIRST,1adead:5,b:1"))
        assertEquals(200, status("stream", "$FIRST,e:5,c:1"))
        assertEquals(2, crashedCount())
    }

    // Guards against a common part that is quarantined because the service went down (review case 6).
    @Test
    fun `endpoints that crash at once under requests with a common part don't quarantine it`() {
        start()
        val calls = List(ENDPOINTS * 2) { i -> thread { runCatching { status("stream", "$FIRST,be1d:5,a$i:1") } } }
        awaitUntil { fleet.endpoints.all { it.hasPrompts() } }
        // The gateway finds the port closed before it notices that a connection is lost.
        fleet.endpoints.forEach { it.close() }
        held.countDown()
        calls.forEach { it.join() }
        fleet.add { request, socket -> answer(request, socket) }
        awaitUntil { status("stream", "$FIRST,be1d:5,c:1") == OK }
    }

    private fun EndpointStandIn.hasPrompts() = receivedRequests.any { "x-prompt-prefix" in it.fields }

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
            "1adead" in prompt -> {
                EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = false)(request, socket)
                fleet.endpoints.first { it.address.endsWith(":${socket.localPort}") }.close()
            }
            "be1d" in prompt -> {
                held.await(10, TimeUnit.SECONDS)
                val isClosed = fleet.endpoints.first { it.address.endsWith(":${socket.localPort}") }.isClosed
                if (!isClosed) EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = true)(request, socket)
            }
            "dead" in prompt -> fleet.endpoints.first { it.address.endsWith(":${socket.localPort}") }.close()
            "bad" in prompt -> socket.setSoLinger(true, 0)
            else -> EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = true)(request, socket)
        }
    }

    private fun crashedCount() = fleet.endpoints.count { it.isClosed }

    private fun start() {
        repeat(ENDPOINTS) { fleet.add { request, socket -> answer(request, socket) } }
        fleet.start(
            TestFleet.route("stream", "streaming"),
            TestFleet.route("resume", "streaming", """"resumable":true,"max_attempts":4"""),
        )
    }

    private fun status(route: String, prompt: String) = call(route, prompt).use {
        if (it.code == OK) it.body.string()
        it.code
    }

    private fun call(route: String, prompt: String): Response =
        fleet.gateway.client.newCall(fleet.request(route).withPrompt(prompt).build()).execute()

    private companion object {
        const val ENDPOINTS = 6
        const val OK = 200
        const val FIRST = "f:10"
    }
}
