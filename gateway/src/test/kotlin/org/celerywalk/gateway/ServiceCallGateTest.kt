package org.celerywalk.gateway

import okhttp3.Call
import okhttp3.Request
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs a gateway whose calls exceed the slots of one endpoint.
 *
 * Guards against calls that an endpoint has to reject, refusals that are untrue or late, and places that are lost with
 * their callers.
 */
class ServiceCallGateTest {
    private val fleet = TestFleet()
    private val answers = Semaphore(0)

    @AfterEach
    fun close() {
        answers.release(MANY)
        fleet.close()
    }

    @Test
    fun `calls beyond the slots of the only endpoint wait, and those that cannot start in time get a 503`() {
        start(slots = 1)
        val first = send("once")
        awaitReceived(1)
        val others = List(3) { send("once") }
        answers.release(MANY)
        assertEquals(List(4) { 200 }, (listOf(first) + others).map { it.get(10, TimeUnit.SECONDS).first })
        answers.drainPermits()
        val held = send("once")
        awaitReceived(5)
        val (status, retryAfter) = send("short").get(1, TimeUnit.SECONDS)
        assertEquals(503, status)
        assertTrue(checkNotNull(retryAfter).toDouble() in 0.1..3.0, retryAfter)
        assertEquals(5, endpoint.receivedRequests.size)
        answers.release(MANY)
        held.get(10, TimeUnit.SECONDS)
    }

    @Test
    fun `a call whose caller leaves while it waits is not sent, and the next one is`() {
        start(slots = 1)
        val first = send("once")
        awaitReceived(1)
        val left = call(fleet.request("once").build())
        CompletableFuture.runAsync { runCatching { left.execute().close() } }
        awaitUntil { waitingCalls() == "1.0" }
        left.cancel()
        val leftAt = TimeSource.Monotonic.markNow()
        awaitUntil { waitingCalls() == "0.0" }
        assertTrue(leftAt.elapsedNow() < 2.seconds, "half of the time that the call may wait")
        val next = send("once")
        answers.release(MANY)
        assertEquals(listOf(200, 200), listOf(first, next).map { it.get(10, TimeUnit.SECONDS).first })
        assertEquals(listOf("a-1", "a-3"), endpoint.receivedRequests.map { it.fields["x-attempt-id"] })
    }

    @Test
    fun `a call whose endpoint is lost frees its place`() {
        fleet.add(EndpointStandIn { _, socket -> socket.close() }, slots = 1)
        fleet.start(TestFleet.route("once", "non_idempotent"))
        assertEquals(List(6) { 502 }, List(6) { send("once").get(10, TimeUnit.SECONDS).first })
        assertEquals("0.0", waitingCalls())
    }

    private val endpoint get() = fleet.endpoints.single()

    private fun start(slots: Int) {
        val answer = EndpointStandIn.responseScript(200, "fine")
        fleet.add(
            EndpointStandIn { request, socket ->
                answers.acquire()
                answer(request, socket)
            },
            slots = slots,
        )
        val fields = "\"max_attempts\":1,\"target_latency_ms\""
        fleet.start(
            TestFleet.route("once", "non_idempotent", "$fields:8000"),
            TestFleet.route("short", "non_idempotent", "$fields:40"),
        )
    }

    private fun call(request: Request): Call = fleet.gateway.client.newCall(request)

    // Returns the status and the field Retry-After of the response.
    private fun send(route: String): CompletableFuture<Pair<Int, String?>> {
        val call = call(fleet.request(route).build())
        return CompletableFuture.supplyAsync { call.execute().use { it.code to it.header("Retry-After") } }
    }

    private fun awaitReceived(count: Int) = awaitUntil { endpoint.receivedRequests.size == count }

    private fun waitingCalls(): String? = fleet.gateway.metrics().lineSequence()
        .firstOrNull { it.startsWith("celerywalk_calls_waiting{service=\"s\"}") }?.substringAfterLast(' ')

    private companion object {
        const val MANY = 1_000
    }
}
