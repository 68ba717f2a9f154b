package org.celerywalk.gateway.weights

import okhttp3.OkHttpClient
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EndpointStandIn
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayBounds
import org.celerywalk.gateway.GatewaySettings
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.platform.wire.FleetDocument
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.weights.TargetWeights
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Guards against weight orders that are repeated or sent without the lease, and against replicas that get no work after
 * a weight change. Uses a stand-in of one model replica.
 */
class WeightRolloutControllerTest {
    private val store = StoreStandIn()
    private val log = EventLog("g")

    @Volatile
    private var version = 1

    @Volatile
    private var isBusy = false

    @Volatile
    private var orderStatus = 202
    private val replica = EndpointStandIn { request, socket ->
        if (request.requestLine.startsWith("POST")) isBusy = orderStatus == 202
        val status = if (request.requestLine.startsWith("POST")) orderStatus else 200
        val report = """{"models":[{"name":"m","version":$version}],"sequence":0,"busy":$isBusy}"""
        EndpointStandIn.responseScript(status, report)(request, socket)
    }
    private val settings = GatewaySettings(
        instance = "g",
        dataCentre = "dc",
        isFirstStart = true,
        callers = SocketAddress("127.0.0.1", 1),
        readiness = SocketAddress("127.0.0.1", 2),
        metrics = SocketAddress("127.0.0.1", 3),
        peerPort = 4,
        store = SocketAddress("127.0.0.1", store.address.substringAfter(':').toInt()),
        prefillTokensPerMillisecond = 45.0,
        admitsByLoad = true,
        bounds = GatewayBounds(5.seconds, 8.seconds, 0.2, 10.seconds, 56, 3.seconds, 2.seconds, 8.seconds, 0.1),
    )
    private val state = FleetState(settings, TimeSource.Monotonic, { 1 }, { 1.0 })
    private val calls = PlatformCalls(OkHttpClient())
    private val lease = OrderLeaseManager(settings, PlatformTable(calls, store.address), TimeSource.Monotonic, log)
    private val controller = WeightRolloutController(state, lease, ReplicaCalls(calls), log, { false }, {})

    @AfterEach
    fun close() {
        controller.close()
        replica.close()
        store.close()
        log.close()
    }

    @Test
    fun `a replica whose order is pending at a planned stop gets work again once it has the new weights`() {
        startRollout()
        controller.stopOrdering()
        version = 2
        isBusy = false
        await { !state.loads.getOrCreate("r").hasPendingWeightOrder && !state.loads.getOrCreate("r").isChangingWeights }
    }

    @Test
    fun `after a planned stop has begun, no more orders are sent`() {
        startRollout()
        controller.stopOrdering()
        version = 2
        isBusy = false
        await { !state.loads.getOrCreate("r").hasPendingWeightOrder }
        state.recordWeights(TargetWeights("m", 3))
        LockSupport.parkNanos(500.milliseconds.inWholeNanoseconds)
        assertEquals(1, sentOrders())
    }

    @Test
    fun `no stream is relocated to a replica that accepts a weight order at the same time`() {
        var otherTakesWork: Boolean? = null
        state.loads.getOrCreate("other")
        state.loads.getOrCreate("first")
        val stream = state.streams.begin(100) {
            otherTakesWork = !state.loads.getOrCreate("other").isChangingWeights
            true
        }
        state.streams.add("first", stream)
        WeightChangeTracker(state, log).handleAcceptedOrders(listOf("first", "other"), 1.seconds)
        assertEquals(false, otherTakesWork)
    }

    @Test
    fun `an order refused by a different replica at the same address is not repeated at once`() {
        orderStatus = 421
        announceWeights(version = 2)
        controller.start()
        await { sentOrders() == 1 }
        LockSupport.parkNanos(600.milliseconds.inWholeNanoseconds)
        assertEquals(1, sentOrders())
    }

    @Test
    fun `a process that cannot get the lease during an outage of the store keeps no work away from replicas`() {
        store.isUp = false
        announceWeights(version = 2)
        controller.start()
        repeat(100) {
            assertFalse(
                state.loads.getOrCreate("r").hasPendingWeightOrder || state.loads.getOrCreate("r").isChangingWeights,
            )
            LockSupport.parkNanos(10.milliseconds.inWholeNanoseconds)
        }
        assertEquals(0, sentOrders())
    }

    private fun startRollout() {
        announceWeights(version = 2)
        controller.start()
        await { sentOrders() == 1 }
        assertTrue(
            state.loads.getOrCreate("r").isChangingWeights,
            "the replica gets work while it carries out its order",
        )
    }

    private fun announceWeights(version: Int) {
        val text = """{"version":1,"routes":[],"services":[{"name":"s","engine":{"models":[{"name":"m"}]}}]}"""
        state.adopt(FleetDocument.decodeConfiguration(text.toByteArray())!!, checksum = 1)
        val endpoint = RegisteredEndpoint("r", "s", replica.address, "dc", 64, false, null, mapOf("m" to 1))
        state.directory.update(listOf(endpoint))
        state.recordWeights(TargetWeights("m", 1))
        state.recordWeights(TargetWeights("m", version))
    }

    private fun sentOrders() = replica.receivedRequests.count { it.requestLine.startsWith("POST") }

    private fun await(condition: () -> Boolean) {
        repeat(600) {
            if (condition()) return
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10))
        }
        error("the condition did not become true within 6 s")
    }
}
