package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Guards against a request that waits in a replica's queue and starts on weights after the time from which on no
 * request may start on them (VERSION).
 */
class SupersededWeightsTest {
    private val store = StoreStandIn()
    private val gateway =
        TestGateway(store) { copy(keyWithdrawal = 5.seconds, weightsDeadline = WEIGHTS_DEADLINE) }
    private val received = CompletableFuture<ComparableTimeMark>()
    private val closed = CompletableFuture<ComparableTimeMark>()
    private val replica = EndpointStandIn { request, socket ->
        if (request.requestLine.startsWith("GET")) {
            EndpointStandIn.responseScript(200, BUSY_REPORT)(request, socket)
        } else {
            queueForever(socket)
        }
    }

    @AfterEach
    fun close() {
        store.close()
        replica.close()
    }

    @Test
    fun `a request that has not started in time on superseded weights is taken back`() {
        start()
        store.put("op", "version/m", """{"model":"m","version":2}""")
        val announcedAt = TimeSource.Monotonic.markNow()
        // Later than the gateway reads the announcement, and early enough for a placement on the old weights.
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200))
        assertEquals(502, call())
        assertTrue(received.isDone, "the replica has not received the request")
        val startedBy = closed.get(5, TimeUnit.SECONDS) - announcedAt
        assertTrue(startedBy < WEIGHTS_DEADLINE, "the request could have started $startedBy after the announcement")
    }

    private fun queueForever(socket: Socket) {
        received.complete(TimeSource.Monotonic.markNow())
        runCatching { socket.getInputStream().read() }
        closed.complete(TimeSource.Monotonic.markNow())
    }

    private fun call(): Int = gateway.client.newCall(
        Request.Builder().url("${gateway.url}/chat/x").header("X-Attempt-Id", "a-1")
            .header("X-Model", "m").header("X-Token-Usage", "100,10").header("X-Prompt-Prefix", "a1:100")
            .header("X-Deadline-Ms", "15000").post("prompt".toRequestBody()).build(),
    ).execute().use { it.code }

    private fun start() {
        store.put("op", "config", CONFIGURATION)
        store.put("op", "version/m", """{"model":"m","version":1}""")
        val registration = """{"backend":"llm","address":"${replica.address}","zone":"dc","slots":64,"state":"ready",
            "models":[{"name":"m","version":1}]}"""
        store.put("servers", "i-0", registration)
        gateway.start()
    }

    private companion object {
        val WEIGHTS_DEADLINE = 4_000.milliseconds
        const val BUSY_REPORT = """{"models":[{"name":"m","version":1}],"sequence":0,"busy":true,"epoch":1,"next":1,
            "events":[]}"""
        const val CONFIGURATION = """{"version":1,"services":[{"name":"llm","engine":{"slots":64,
            "kv_capacity_tokens":100000,"kv_token_bytes":1,"link_mbps":1000,"models":[{"name":"m"}]}}],
            "routes":[{"name":"chat","hostname":"127.0.0.1","prefix":"/chat/","backend":"llm","timeout_ms":15000,
             "target_latency_ms":800,"type":"streaming","max_attempts":1}]}"""
    }
}
