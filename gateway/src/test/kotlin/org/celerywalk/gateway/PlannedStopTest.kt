package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Guards against requests that a gateway accepts and cuts off without a response when it is stopped. */
class PlannedStopTest {
    private val fleet = TestFleet { copy(stopGrace = 4500.milliseconds) }

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a request that outlasts the grace period gets a final response before the process ends`() {
        val endpoint = fleet.add { _, socket -> runCatching { socket.getInputStream().read() } }
        fleet.start(TestFleet.route("once", "non_idempotent"))
        val early = callOnce()
        awaitUntil { endpoint.receivedRequests.size == 1 }
        val stop = CompletableFuture.runAsync { fleet.gateway.stop() }
        awaitUntil { !fleet.gateway.isReady() }
        val late = callOnce()
        stop.get(10, TimeUnit.SECONDS)
        assertEquals(listOf(502, 502), listOf(early, late).map { it.getNow(null) })
    }

    @Test
    fun `a request whose body arrives after the gateway has begun to refuse is not passed on`() {
        val endpoint = fleet.add(script = EndpointStandIn.responseScript(200, "done"))
        fleet.start(TestFleet.route("once", "non_idempotent"))
        Socket("127.0.0.1", fleet.gateway.port).use { caller ->
            val head = "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: u\r\nContent-Length: 4\r\n\r\n"
            caller.getOutputStream().write("${head}ab".toByteArray())
            val stop = CompletableFuture.runAsync { fleet.gateway.stop() }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2_800))
            caller.getOutputStream().write("cd".toByteArray())
            assertTrue(caller.getInputStream().bufferedReader().readLine().startsWith("HTTP/1.1 503"))
            stop.get(10, TimeUnit.SECONDS)
        }
        assertEquals(0, endpoint.receivedRequests.size)
    }

    private fun callOnce(): CompletableFuture<Int> = CompletableFuture.supplyAsync {
        fleet.gateway.client.newCall(fleet.request("once").build()).execute().use { it.code }
    }
}
