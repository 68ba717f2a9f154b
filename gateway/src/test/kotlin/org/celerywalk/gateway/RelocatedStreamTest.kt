package org.celerywalk.gateway

import okhttp3.Call
import okhttp3.Request
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that the gateway itself takes away from a sound endpoint and then breaks off (LOST). */
class RelocatedStreamTest {
    private lateinit var fleet: TestFleet
    private val hasBegun = CountDownLatch(1)
    private val mayEnd = CountDownLatch(1)
    private val sendsOfRest = AtomicInteger()
    private var beginning = FIRST_EVENT
    private var silenceMillis = 0L

    // The common pool has one thread less than the machine has cores, and waits of earlier tests may hold all of them.
    private val threads = Executors.newCachedThreadPool()

    @AfterEach
    fun close() {
        fleet.close()
        threads.shutdownNow()
    }

    // Guards against a stream that ends at the first refusal for which the retry budget has no retry left.
    @Test
    fun `a relocated stream goes on once the retry budget allows it`() {
        start(refusedSends = 3, refusal = REFUSAL, retryAllowance = SMALL_ALLOWANCE)
        val received = callInBackground()
        reportWeightChanges("i-0")
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
    }

    // Guards against a stream that ends after a number of refusals, although it has time left.
    @Test
    fun `a relocated stream goes on after many refusals`() {
        start(refusedSends = MANY_REFUSALS, refusal = REFUSAL)
        val received = callInBackground()
        reportWeightChanges("i-0")
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
        assertEquals(MANY_REFUSALS + 1, sendsOfRest.get())
    }

    // Guards against a stream that ends at the first moment at which no endpoint takes requests.
    @Test
    fun `a relocated stream goes on once the pauses of the endpoints have ended`() {
        start(refusedSends = 2, refusal = "${REFUSAL}Retry-After: 1\r\n")
        val received = callInBackground()
        reportWeightChanges("i-0")
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
    }

    // Guards against a stream that ends because the endpoint that it was relocated to is silent for a while.
    @Test
    fun `a relocated stream without another attempt is not cut while its endpoint is silent`() {
        silenceMillis = 3_500
        start(refusedSends = 0, refusal = "")
        val received = callInBackground()
        reportWeightChanges("i-0")
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
        assertEquals(1, sendsOfRest.get())
    }

    // Guards against a relocation by a gateway that ends before the other endpoint can send the rest.
    @Test
    fun `a stopping gateway leaves its streams at their endpoints`() {
        start(refusedSends = 0, refusal = "")
        val received = callInBackground()
        val stop = CompletableFuture.runAsync(fleet.gateway::stop, threads)
        awaitUntil { !fleet.gateway.isReady() }
        reportWeightChanges("i-0")
        fleet.sendAsPeer("""{"name":"p","number":2,"leaving":[["i-2"]]}""")
        awaitUntil { statusOfProbe() == UNAVAILABLE }
        mayEnd.countDown()
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
        assertEquals(0, sendsOfRest.get())
        stop.get(30, TimeUnit.SECONDS)
    }

    // Guards against a relocation to endpoints that change their weights too.
    @Test
    fun `a stream stays at its endpoint while no other can take it`() {
        start(refusedSends = Int.MAX_VALUE, refusal = REFUSAL)
        val received = callInBackground()
        reportWeightChanges("i-0", "i-1")
        // The gateway applies the messages of its peers in order.
        fleet.sendAsPeer("""{"name":"p","number":2,"leaving":[["i-2"]]}""")
        awaitUntil { statusOfProbe() == UNAVAILABLE }
        mayEnd.countDown()
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
        assertEquals(0, sendsOfRest.get())
    }

    // Guards against the relocation of a stream whose prompt part has come into quarantine since it began.
    @Test
    fun `a stream whose prompt part is in quarantine stays at its endpoint`() {
        start(refusedSends = 0, refusal = "")
        val received = callInBackground { withPrompt("$PART:10,b:1").header("X-Token-Usage", "11,$OUTPUT_TOKENS") }
        fleet.sendAsPeer("""{"name":"p","number":1,"suspects":{"$PART":{"crashes":{"e-1":0,"e-2":0}}}}""")
        fleet.gateway.awaitQuarantinedParts(1)
        assertEquals(UNAVAILABLE, statusOfProbe { withPrompt("$PART:10,c:1") })
        fleet.sendAsPeer("""{"name":"p","number":2,"changing":["i-0"]}""")
        fleet.sendAsPeer("""{"name":"p","number":3,"leaving":[["i-2"]]}""")
        awaitUntil { statusOfProbe() == UNAVAILABLE }
        mayEnd.countDown()
        assertEquals(FIRST_EVENT + REST, received.get(30, TimeUnit.SECONDS))
        assertEquals(0, sendsOfRest.get())
    }

    // Guards against the relocation of a stream that no other endpoint can continue.
    @Test
    fun `a stream that has begun with a comment stays at its endpoint`() {
        beginning = COMMENT
        start(refusedSends = 0, refusal = "")
        val received = callInBackground()
        reportWeightChanges("i-0")
        fleet.sendAsPeer("""{"name":"p","number":2,"leaving":[["i-2"]]}""")
        awaitUntil { statusOfProbe() == UNAVAILABLE }
        mayEnd.countDown()
        assertEquals(COMMENT + REST, received.get(30, TimeUnit.SECONDS))
    }

    private fun start(refusedSends: Int, refusal: String, retryAllowance: Int = LARGE_ALLOWANCE) {
        fleet = TestFleet { copy(retryWindow = 1.seconds, retryAllowance = retryAllowance) }
        // The stream begins at the first endpoint, which has more slots.
        listOf(8, 4).forEach { slots ->
            val endpoint = EndpointStandIn { request, socket ->
                when {
                    request.fields["last-event-id"] == null -> begin(request, socket)
                    sendsOfRest.incrementAndGet() <= refusedSends ->
                        socket.getOutputStream().write("HTTP/1.1 503 X\r\n$refusal\r\n".toByteArray())
                    else -> {
                        pause(silenceMillis)
                        EndpointStandIn.stream(REST, isComplete = true)(request, socket)
                    }
                }
            }
            fleet.add(endpoint, slots = slots)
        }
        fleet.add("probe", EndpointStandIn.responseScript(OK, "p"))
        fleet.start(
            TestFleet.route("resume", "streaming", """"resumable":true,"max_attempts":2"""),
            TestFleet.route("probe", "idempotent", service = "probe"),
        )
    }

    // Sends the rest of the stream once it may end, unless the gateway closes the connection before.
    private fun begin(request: ReceivedRequest, socket: Socket) {
        EndpointStandIn.stream(beginning, isComplete = false)(request, socket)
        val isCancelled = CompletableFuture.supplyAsync({ runCatching { socket.getInputStream().read() } }, threads)
        val isEnded = CompletableFuture.runAsync(mayEnd::await, threads)
        CompletableFuture.anyOf(isCancelled, isEnded).get(30, TimeUnit.SECONDS)
        if (isEnded.isDone) {
            val lastChunk = "${REST.length.toString(radix = 16)}\r\n$REST\r\n0\r\n\r\n"
            socket.getOutputStream().write(lastChunk.toByteArray())
        }
    }

    // Returns when the caller has received the beginning of the stream.
    private fun callInBackground(
        addFields: Request.Builder.() -> Request.Builder = { this },
    ): CompletableFuture<String> {
        val request = fleet.request("resume").addFields().build()
        val call = fleet.gateway.client.newCall(request)
        val received = CompletableFuture.supplyAsync({ receive(call) }, threads)
        assertTrue(hasBegun.await(30, TimeUnit.SECONDS))
        return received
    }

    private fun receive(call: Call): String = try {
        call.execute().use {
            it.body.source().require(beginning.length.toLong())
            hasBegun.countDown()
            it.body.string()
        }
    } catch (e: IOException) {
        "broken off: $e"
    }

    private fun reportWeightChanges(vararg endpoints: String) =
        fleet.sendAsPeer("""{"name":"p","number":1,"changing":[${endpoints.joinToString(",") { "\"$it\"" }}]}""")

    private fun statusOfProbe(addFields: Request.Builder.() -> Request.Builder = { this }) =
        fleet.gateway.client.newCall(fleet.request("probe").addFields().build()).execute().use { it.code }

    private fun pause(millis: Long) = LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis))

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val FIRST_EVENT = "id: 1\ndata: a\n\n"
        const val COMMENT = ": c\n\n"
        const val PART = "51"

        // A stream that is expected to be short is not relocated.
        const val OUTPUT_TOKENS = 1_000
        const val REST = "id: 2\ndata: b\n\n"
        const val REFUSAL = "X-Not-Executed: 1\r\nContent-Length: 0\r\n"

        // Takes about 3 s of the route's 5 s.
        const val MANY_REFUSALS = 11

        // A gateway uses a sixth of it, of which half may go to relocations.
        const val SMALL_ALLOWANCE = 12
        const val LARGE_ALLOWANCE = 600
    }
}
