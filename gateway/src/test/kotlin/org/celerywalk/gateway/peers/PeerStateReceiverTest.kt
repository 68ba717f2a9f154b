package org.celerywalk.gateway.peers

import okhttp3.OkHttpClient
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CallerLimits
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.ExchangeTiming
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.RankedWork
import java.io.OutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Guards against messages whose processing takes longer the more gateways, endpoints and accounts there are. */
class PeerStateReceiverTest {
    private class CountingTimeSource : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        var readCount = 0

        override fun read(): Long = readCount++.toLong()
    }

    private class Fleet(gateways: Int, endpoints: Int, accounts: Int) {
        val clock = CountingTimeSource()
        private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
        private val settings = testSettings()
        private val membership =
            Membership(settings, PlatformTable(PlatformCalls(OkHttpClient()), "127.0.0.1:1"), clock, log)
        val state = FleetState(settings, clock, { membership.gatewayCount }, { membership.quotaShare })
        private val timing = ExchangeTiming { membership.gatewayCount }
        private val events = object : PeerEvents {
            override fun onNewerStoreState() {
                readRequests++
            }
        }
        private val receiver = PeerStateReceiver(state, membership, timing, log, events) { null }
        var readRequests = 0

        init {
            state.directory.update(List(endpoints) { endpoint("i-$it") })
            List(endpoints) { state.loads.getOrCreate("i-$it") }
            List(accounts) { state.quotaOf("account-$it").configure(1_000.0, 1_000.0, 1.0) }
            List(gateways) { receive(PeerState("edge-$it", 1)) }
            membership.updateReachability(1.seconds)
        }

        fun receive(message: PeerState) = receiver.apply(message, SocketAddress("127.0.0.1", 1))
    }

    @Test
    fun `the clock is read as often for a message in a large fleet as in a small one`() {
        val counts = listOf(Fleet(5, 8, 5), Fleet(360, 1_400, 290)).map { fleet ->
            val before = fleet.clock.readCount
            val work = mapOf("i-1" to RankedWork.of(EndpointWork(calls = 1)))
            val quotas = mapOf("account-1" to 10L)
            fleet.receive(PeerState("edge-1", 2, isComplete = false, quotas = quotas, work = work))
            fleet.clock.readCount - before
        }
        assertEquals(counts.first(), counts.last())
    }

    @Test
    fun `work of another gateway counts until it reports that it has ended`() {
        val fleet = Fleet(2, 2, 1)
        val work = mapOf("i-1" to RankedWork.of(EndpointWork(calls = 3)))
        fleet.receive(PeerState("edge-1", 2, work = work))
        fleet.receive(PeerState("edge-1", 3, isComplete = false))
        assertEquals(3, fleet.state.loads.getOrCreate("i-1").work().calls)
        fleet.receive(PeerState("edge-1", 4, isComplete = false, work = mapOf("i-1" to RankedWork())))
        assertEquals(0, fleet.state.loads.getOrCreate("i-1").work().calls)
    }

    /** Guards against gateways that poll the store for as long as one peer keeps an outdated configuration. */
    @Test
    fun `another content of the same version is read only if the peer has read the store later`() {
        val fleet = Fleet(1, 1, 1)
        val configuration = FleetConfiguration(3, emptyList(), emptyMap(), null, CallerLimits(1, 1))
        fleet.state.adopt(configuration, checksum = 1)
        fleet.state.confirmation.confirm(fleet.clock.markNow())
        val message = PeerState("edge-1", 2, configuration = 3, configurationChecksum = 2)
        fleet.receive(message.copy(confirmationAge = 5.seconds))
        assertEquals(0, fleet.readRequests)
        fleet.receive(message.copy(confirmationAge = Duration.ZERO))
        fleet.receive(message.copy(configurationChecksum = 1, confirmationAge = Duration.ZERO))
        assertEquals(1, fleet.readRequests)
    }

    private companion object {
        fun endpoint(id: String) = RegisteredEndpoint(
            id = id,
            service = "s",
            address = "10.0.0.1:80",
            dataCentre = "dc",
            slots = 4,
            isDraining = false,
            startedAtMillis = null,
            models = emptyMap(),
        )
    }
}
