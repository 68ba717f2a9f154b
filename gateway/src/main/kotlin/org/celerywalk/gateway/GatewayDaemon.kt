package org.celerywalk.gateway

import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ModelReplicaChooser
import org.celerywalk.routing.ServiceEndpointChooser
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import java.util.logging.Level
import java.util.logging.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a gateway: serves callers and calls endpoints directly.
 *
 * @param callersSocket listening socket on the address for callers, or null to open one at the start.
 */
public class GatewayDaemon(private val settings: GatewaySettings, callersSocket: ServerSocketChannel? = null) {
    private val log = EventLog(settings.instance)
    private val metrics = GatewayMetrics()
    private val timeSource = SuspendAwareTimeSource()
    private val calls = PlatformCalls(controlClient())
    private val table = PlatformTable(calls, settings.store.toString())
    private val replicas = ReplicaCalls(calls)
    private val membership = Membership(settings, table, timeSource, log)
    private val state = FleetState(settings, timeSource, { membership.count }, membership::quotaShare)
    private val lease = OrderLeaseKeeper(settings, table, timeSource, log)
    private val store: StoreDuties = StoreDuties(state, table, log) { weights.runSoon() }
    private val peers = PeerExchange(state, membership, log) {
        !stopping && lease.holds && store.readWithin(LEASE_CLAIM)
    }
    private val weights: WeightsDuty =
        WeightsDuty(state, lease, replicas, log, { !lease.holds && peers.leaseIsElsewhere }, peers::tellSoon)
    private val cacheEvents = CacheEventDuties(state, replicas, log)
    private val handler = RequestHandler(state, forwardingParts(), log, metrics)
    private val server = GatewayServer(settings, handler, Pages(), callersSocket)

    // Kept in a field, since java.util.logging forgets the level of a logger that nobody refers to.
    private val jettyAnswers = Logger.getLogger("org.eclipse.jetty.server.Response")

    @Volatile
    private var stopping = false

    /** Starts everything; the process reports that it is ready once it knows the fleet. */
    public fun start() {
        // Libraries log through java.util.logging here, which starts faster than tinylog; events go to the EventLog.
        Logger.getLogger("").level = Level.WARNING
        // Reports each connection that is closed under an answer, which the log tells as the outcome of the request.
        jettyAnswers.level = Level.OFF
        log.write("start", "data_centre" to settings.dataCentre, "callers" to settings.callers)
        metrics.gauge("celerywalk.requests.open") { handler.open }
        metrics.gauge("celerywalk.log.dropped") { log.droppedLines }
        metrics.gauge("celerywalk.confirmation.age.ms") { state.confirmation.age()?.inWholeMilliseconds ?: -1 }
        store.start()
        membership.start()
        server.start()
        peers.start()
        cacheEvents.start()
        weights.start()
        log.write("listening")
    }

    /** Reports that the process is not ready, serves what it has, and ends before the stop grace has passed. */
    public fun stop() {
        log.write("stop", "open" to handler.open)
        stopping = true
        handler.stopping = true
        weights.handOver()
        membership.leave()
        val stoppedAt = timeSource.markNow()
        val latest = settings.bounds.stopGrace - STOP_MARGIN
        while (stoppedAt.elapsedNow() < BALANCER_NOTICES) pause(STOP_CHECK)
        handler.refusing = true
        while (stoppedAt.elapsedNow() < latest && handler.open > 0) pause(STOP_CHECK)
        log.write("stopped", "open" to handler.open, "after" to stoppedAt.elapsedNow())
        log.close()
    }

    private fun pause(time: Duration) = LockSupport.parkNanos(time.inWholeNanoseconds)

    private fun forwardingParts(): ForwardingParts {
        val speed = settings.prefillTokensPerMilli
        val chooser = ModelReplicaChooser(timeSource, state.loads, state.locations, settings.dataCentre, speed)
        return ForwardingParts(
            state,
            EndpointCalls(EndpointClient(), replicas, log, metrics),
            EndpointChoosers(
                GenerationPlacement(state, chooser, log, peers::placed),
                ServiceEndpointChooser(state.loads, settings.dataCentre),
            ),
        )
    }

    private fun controlClient() = OkHttpClient.Builder()
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .build()

    private inner class Pages : GatewayPages {
        override fun ready(): Boolean = !stopping && state.active != null && store.registryRead &&
            state.confirmation.isWithin(settings.bounds.keyWithdrawal - READY_MARGIN)

        override fun metrics(): String = metrics.scrape()
    }

    private companion object {
        const val MAX_IDLE_CONNECTIONS = 48
        const val IDLE_SECONDS = 5L
        val CONNECT_TIMEOUT = 400.milliseconds
        val READY_MARGIN = 300.milliseconds

        // The balancer checks once a second and needs two misses; what it sends after that is refused.
        val BALANCER_NOTICES = 2500.milliseconds

        // Others give orders if the holder of the lease has not read the store for this long.
        val LEASE_CLAIM = 1500.milliseconds
        val STOP_MARGIN = 1.seconds
        val STOP_CHECK = 50.milliseconds
    }
}
