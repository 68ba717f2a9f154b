package org.celerywalk.gateway.admission

import okhttp3.Call
import org.celerywalk.gateway.EndpointStandIn
import org.celerywalk.gateway.TestFleet
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.gateway.withPrompt
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull

/** Guards against cheap long prompts that take the room of urgent ones, and against refusals that come late. */
class GenerationGateTest {
    private val fleet = TestFleet()
    private val replica = fleet.add(EndpointStandIn(EndpointStandIn.stream("data: a\n\n", isComplete = true)))
    private var messages = 0

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a full replica gets late urgent requests before less urgent ones, others are refused with a time`() {
        start(LESS_URGENT)
        awaitUntil { reportWork(millis = 4_500).let { status("long") } == 503 }
        val received = requestCount
        call("long").execute().use { assertNotNull(it.header("Retry-After")) }
        assertEquals(received, requestCount)
        reportWork(millis = 3_500)
        assertEquals(200, status("urgent"))
        assertEquals(LATE_URGENT, replica.receivedRequests.last().fields["x-request-priority"])
    }

    @Test
    fun `a request waits until there is room, one whose caller leaves is not sent`() {
        start(LESS_URGENT)
        awaitUntil { reportWork(millis = 4_500).let { status("long") } == 503 }
        val received = requestCount
        reportWork(millis = WAIT_MILLIS)
        val left = call("long")
        val leftResult = CompletableFuture.supplyAsync { left.execute().use { it.code } }
        val result = CompletableFuture.supplyAsync { status("long") }
        assertFailsWith<TimeoutException> { result.get(SHORT_MILLIS, TimeUnit.MILLISECONDS) }
        left.cancel()
        Thread.sleep(SHORT_MILLIS)
        assertFailsWith<IOException> { throw assertFailsWith<Exception> { leftResult.get() }.cause!! }
        reportWork(millis = 0)
        assertEquals(200, result.get())
        assertEquals(received + 1, requestCount)
    }

    @Test
    fun `a service with one rank and no accounts is served as before`() {
        start(""""target_latency_ms":2000,"priority":0""")
        awaitUntil { reportWork(millis = 3_500).let { status("long") } == 200 && replica.lastPriority == LATE_URGENT }
    }

    // The gateway checks with a connection without a request whether an endpoint still listens.
    private val requestCount get() = replica.receivedRequests.count { "x-attempt-id" in it.fields }

    private val EndpointStandIn.lastPriority get() = receivedRequests.last().fields["x-request-priority"]

    private fun start(lessUrgent: String) {
        val urgent = TestFleet.route("urgent", "streaming", """"target_latency_ms":400,"priority":0""")
        val long = TestFleet.route("long", "streaming", lessUrgent)
        fleet.start(urgent, long, services = ENGINE_SERVICE)
        assertEquals(200, status("long"))
    }

    /** Reports as another gateway that the replica has prompts to read for [millis]. */
    private fun reportWork(millis: Int) {
        val work = if (millis == 0) "" else "\"i-0\":[0,1,${millis * TOKENS_PER_MILLI},0,0,0,0]"
        fleet.sendAsPeer("""{"name":"p","number":${++messages},"work":{$work}}""")
        Thread.sleep(SHORT_MILLIS)
    }

    private fun status(route: String) = call(route).execute().use { it.code }

    private fun call(route: String): Call =
        fleet.gateway.client.newCall(fleet.request(route).withPrompt("a:20").build())

    private companion object {
        const val TOKENS_PER_MILLI = 45
        const val SHORT_MILLIS = 200L

        // Requests in time have the priorities 0 to 4.
        const val LATE_URGENT = "5"

        // Between the room and the time to the latest start, 3.6 and 4 s.
        const val WAIT_MILLIS = 3_700
        const val LESS_URGENT = """"target_latency_ms":4000,"priority":2"""
        const val ENGINE_SERVICE = """{"name":"s","engine":{"slots":64,"kv_capacity_tokens":1000000,"kv_token_bytes":1,
            "link_mbps":1000,"models":[{"name":"m"}]}}"""
    }
}
