package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against withdrawn keys and endpoints that have left, which a gateway uses again after a restart. */
class RestartTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `messages for the previous process of a gateway do not confirm API keys`() {
        addEndpoint()
        configure(version = 1, key = "kept")
        fleet.gateway.start()
        assertEquals(200, status(fleet.gateway, "kept"))
        val refusedFrom = TimeSource.Monotonic.markNow() + KEY_WITHDRAWAL
        fleet.store.isUp = false
        // The peer has heard no message of the new process, only numbers of the previous one.
        while (!refusedFrom.hasPassedNow()) {
            (1..MESSAGES).forEach { fleet.sendAsPeer(peerMessage(heard = it)) }
            pause()
        }
        (1..MESSAGES).forEach { fleet.sendAsPeer(peerMessage(heard = it)) }
        pause()
        assertEquals(503, status(fleet.gateway, "kept"))
    }

    @Test
    fun `a gateway that starts while the store is away uses no withdrawn key and no endpoint that has left`() {
        val left = addEndpoint()
        configure(version = 1, key = "withdrawn")
        fleet.gateway.start()
        assertEquals(200, status(fleet.gateway, "withdrawn"))
        fleet.gateway.stop()
        fleet.store.isUp = false
        configure(version = 2, key = "kept")
        fleet.store.remove("servers", "i-0")
        val current = addEndpoint()
        val restarted = TestGateway(fleet.store)
        val start = thread { restarted.start() }
        awaitUntil { runCatching { Socket("127.0.0.1", restarted.port).close() }.isSuccess }
        val calls = List(CALLS) { status(restarted, if (it % 2 == 0) "withdrawn" else "kept") }
        assertEquals(setOf(503), calls.toSet())
        fleet.store.isUp = true
        start.join()
        assertEquals(listOf(401, 200), listOf("withdrawn", "kept").map { status(restarted, it) })
        assertEquals(listOf(1, 1), listOf(left, current).map { it.receivedRequests.size })
    }

    private fun addEndpoint() = fleet.add { request, socket ->
        EndpointStandIn.responseScript(200, "done")(request, socket)
    }

    private fun configure(version: Int, key: String) = fleet.store.put(
        "op",
        "config",
        """{"version":$version,"services":[{"name":"s"}],"routes":[${TestFleet.route("r", "idempotent")}],
            "tenants":[{"name":"acme","api_keys":["$key"],"rate_per_s":0,"burst":0}]}""",
    )

    private fun peerMessage(heard: Int) =
        """{"name":"peer","number":$heard,"heard":{"g":$heard},"configuration":1,"confirmed":1}"""

    private fun status(gateway: TestGateway, key: String): Int {
        val request = fleet.request("r").header("Authorization", "Bearer $key")
            .url("${gateway.url}/r/x").build()
        return gateway.client.newCall(request).execute().use { it.code }
    }

    private fun pause() = LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS))

    private companion object {
        // The bound of the test settings.
        val KEY_WITHDRAWAL = 2.5.seconds
        const val MESSAGES = 60
        const val CALLS = 4
        const val PAUSE_MILLIS = 300L
    }
}
