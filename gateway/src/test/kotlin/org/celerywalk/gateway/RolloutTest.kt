package org.celerywalk.gateway

import org.celerywalk.gateway.TestFleet.Companion.route
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a bad version that gets more than its share, a good one that is not completed, and traffic that moves
 * without a valid order.
 */
class RolloutTest {
    private val fleet = TestFleet { copy(rollouts = RolloutBounds(SHARE, 50, 5.seconds)) }
    private val old = EndpointStandIn(EndpointStandIn.responseScript(200, "old"))

    @Volatile
    private var newStatus = 200
    private val new = EndpointStandIn { request, socket ->
        EndpointStandIn.responseScript(newStatus, "new")(request, socket)
    }

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a good version gets its share, then all requests, and the status is completed`() {
        start()
        callFor(1.seconds)
        assertEquals(0, new.receivedRequests.size, "requests reached the new version without an order")
        order(duration = 10)
        callUntilStatus("completed")
        val oldCount = old.receivedRequests.size
        callFor(1.seconds)
        assertEquals(oldCount, old.receivedRequests.size, "requests reached a replica that may have been stopped")
    }

    @Test
    fun `a bad version is rolled back and gets no more requests`() {
        newStatus = 500
        start()
        order(duration = 30)
        callUntilStatus("rolled_back")
        val newCount = new.receivedRequests.size
        assertTrue(newCount <= (newCount + old.receivedRequests.size) * SHARE + 1, "$newCount requests")
        callFor(1.seconds)
        assertEquals(newCount, new.receivedRequests.size)
    }

    @Test
    fun `an order that can't be carried out moves no traffic and writes no status`() {
        start()
        order(duration = 0)
        awaitUntil { "s" in fleet.store.keys("rollouts") }
        callFor(1.seconds)
        assertEquals(0, new.receivedRequests.size)
        assertEquals(emptySet(), fleet.store.keys("status"))
    }

    private fun start() {
        add(old, "v1", 1)
        add(new, "v2", 2)
        fleet.start(route("r", "idempotent"), services = """{"name":"s"}""")
    }

    private fun add(endpoint: EndpointStandIn, version: String, born: Int) = fleet.store.put(
        "servers",
        "i-$born",
        """{"backend":"s","address":"${endpoint.address}","zone":"dc","slots":4,"state":"ready",
            "version":"$version","born":$born}""",
    )

    private fun order(duration: Int) =
        fleet.store.put("op", "rollout/s", """{"backend":"s","to":"v2","duration_s":$duration}""")

    private fun callUntilStatus(name: String) = awaitUntil({ "status $name: ${status()}" }) {
        repeat(CALLS) { call() }
        status() == name
    }

    private fun status(): String? = fleet.store.snapshot().rowsOf("status").singleOrNull()?.value
        ?.substringAfter("\"state\":\"")?.substringBefore('"')

    private fun callFor(time: kotlin.time.Duration) {
        repeat(CALLS) {
            call()
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(time.inWholeMilliseconds / CALLS))
        }
    }

    private fun call() = fleet.gateway.client.newCall(fleet.request("r").build()).execute().use { it.code }

    private companion object {
        const val SHARE = 0.2
        const val CALLS = 10
    }
}
