package org.celerywalk.gateway

import okhttp3.OkHttpClient
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.FleetDocument
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.weights.NamedWeights
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

/** Drives the rollout of new weights against a stand-in of a model replica. */
class WeightsDutyTest {
    private val store = StoreStandIn()
    private val log = EventLog("g")

    @Volatile
    private var version = 1

    @Volatile
    private var busy = false

    @Volatile
    private var orderStatus = 202
    private val replica = EndpointStandIn { request, socket ->
        if (request.line.startsWith("POST")) busy = orderStatus == 202
        val status = if (request.line.startsWith("POST")) orderStatus else 200
        val report = """{"models":[{"name":"m","version":$version}],"sequence":0,"busy":$busy}"""
        EndpointStandIn.answer(status, report)(request, socket)
    }
    private val settings = GatewaySettings(
        instance = "g",
        dataCentre = "dc",
        firstStart = true,
        callers = SocketAddress("127.0.0.1", 1),
        readiness = SocketAddress("127.0.0.1", 2),
        metrics = SocketAddress("127.0.0.1", 3),
        peerPort = 4,
        store = SocketAddress("127.0.0.1", store.address.substringAfter(':').toInt()),
        prefillTokensPerMilli = 45.0,
        bounds = GatewayBounds(5.seconds, 8.seconds, 0.2, 10.seconds, 56, 3.seconds, 8.seconds, 0.1),
    )
    private val state = FleetState(settings, TimeSource.Monotonic, { 1 }, { 1.0 })
    private val calls = PlatformCalls(OkHttpClient())
    private val lease = OrderLeaseKeeper(settings, PlatformTable(calls, store.address), TimeSource.Monotonic, log)
    private val duty = WeightsDuty(state, lease, ReplicaCalls(calls), log, { false }, {})

    @AfterEach
    fun close() {
        duty.close()
        replica.close()
        store.close()
        log.close()
    }

    @Test
    fun `planned stop of the giver of orders - replicas get work again once they have their weights`() {
        orderNewWeights()
        duty.handOver()
        version = 2
        busy = false
        await { !state.loads.of("r").ordered && !state.loads.of("r").changesWeights }
    }

    @Test
    fun `planned stop of the giver of orders - it gives no more of them`() {
        orderNewWeights()
        duty.handOver()
        version = 2
        busy = false
        await { !state.loads.of("r").ordered }
        state.name(NamedWeights("m", 3))
        LockSupport.parkNanos(500.milliseconds.inWholeNanoseconds)
        assertEquals(1, orders())
    }

    @Test
    fun `new weights - no stream moves to a replica that takes its order at the same time`() {
        var otherIsFree: Boolean? = null
        state.loads.of("other")
        state.loads.of("first")
        val stream = state.streams.begin(100, { true }) { otherIsFree = !state.loads.of("other").changesWeights }
        state.streams.add("first", stream)
        WeightChanges(state, log).begun(listOf("first", "other"), 1.seconds)
        assertEquals(false, otherIsFree)
    }

    @Test
    fun `a replica that was replaced at its address refuses an order - it is not repeated until the registry tells`() {
        orderStatus = 421
        know(version = 2)
        duty.start()
        await { orders() == 1 }
        LockSupport.parkNanos(600.milliseconds.inWholeNanoseconds)
        assertEquals(1, orders())
    }

    @Test
    fun `store away - a process without the lease keeps no replica from its work`() {
        store.up = false
        know(version = 2)
        duty.start()
        repeat(100) {
            assertFalse(state.loads.of("r").ordered || state.loads.of("r").changesWeights)
            LockSupport.parkNanos(10.milliseconds.inWholeNanoseconds)
        }
        assertEquals(0, orders())
    }

    private fun orderNewWeights() {
        know(version = 2)
        duty.start()
        await { orders() == 1 }
        assertTrue(state.loads.of("r").changesWeights, "the replica gets work while it takes its order")
    }

    private fun know(version: Int) {
        val text = """{"version":1,"routes":[],"services":[{"name":"s","engine":{"models":[{"name":"m"}]}}]}"""
        state.adopt(FleetDocument.configuration(text.toByteArray())!!)
        val endpoint = RegisteredEndpoint("r", "s", replica.address, "dc", 64, false, null, mapOf("m" to 1))
        state.directory.read(listOf(endpoint))
        state.name(NamedWeights("m", 1))
        state.name(NamedWeights("m", version))
    }

    private fun orders() = replica.arrived.count { it.line.startsWith("POST") }

    private fun await(condition: () -> Boolean) {
        repeat(600) {
            if (condition()) return
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10))
        }
        error("not observed within 6 s")
    }
}
