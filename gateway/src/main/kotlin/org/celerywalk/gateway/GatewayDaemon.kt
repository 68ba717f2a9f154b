package org.celerywalk.gateway

import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import org.celerywalk.gateway.admission.GenerationGate
import org.celerywalk.gateway.callers.GatewayServer
import org.celerywalk.gateway.callers.RequestHandler
import org.celerywalk.gateway.callers.StatusPages
import org.celerywalk.gateway.endpoints.CacheEventSubscriptions
import org.celerywalk.gateway.endpoints.EndpointClient
import org.celerywalk.gateway.forwarding.CallGateEvents
import org.celerywalk.gateway.forwarding.EndpointChoosers
import org.celerywalk.gateway.forwarding.ForwardingContext
import org.celerywalk.gateway.forwarding.GenerationPlacer
import org.celerywalk.gateway.forwarding.QuarantineEnforcer
import org.celerywalk.gateway.forwarding.ResponseMemory
import org.celerywalk.gateway.forwarding.SendContext
import org.celerywalk.gateway.forwarding.ServiceCallGate
import org.celerywalk.gateway.peers.Membership
import org.celerywalk.gateway.peers.PeerExchange
import org.celerywalk.gateway.peers.StoreLink
import org.celerywalk.gateway.rollout.RolloutController
import org.celerywalk.gateway.rollout.RolloutPeers
import org.celerywalk.gateway.store.QuarantineSync
import org.celerywalk.gateway.store.StoreEvents
import org.celerywalk.gateway.store.StoreSync
import org.celerywalk.gateway.weights.OrderLeaseManager
import org.celerywalk.gateway.weights.WeightRolloutController
import org.celerywalk.instance.StoreWatch
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ModelReplicaChooser
import org.celerywalk.routing.ServiceEndpointChooser
import org.celerywalk.table.StoreEra
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import java.util.logging.Level
import java.util.logging.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A gateway process: accepts requests of callers and forwards them to endpoints.
 *
 * @param callersSocket listening socket on the address for callers, or null to open it in [start].
 */
public class GatewayDaemon(private val settings: GatewaySettings, callersSocket: ServerSocketChannel? = null) {
    private val log = EventLog(settings.instance)
    private val metrics = GatewayMetrics()
    private val timeSource = SuspendAwareTimeSource()
    private val calls = PlatformCalls(platformClient())
    private val era: StoreEra = StoreEra(timeSource) { number ->
        log.write("store_restored", "era" to number)
        state.directory.recordStoreRestored()
    }
    private val table = PlatformTable(calls, settings.store.toString(), era)
    private val replicas = ReplicaCalls(calls) { address, startedAtMillis ->
        state.directory.recordLeaving(address, startedAtMillis)?.let {
            log.write("endpoint_says_leaving", "endpoint" to it.id, "address" to address)
        }
    }
    private val membership = Membership(settings, table, timeSource, log)
    private val state: FleetState =
        FleetState(settings, timeSource, { membership.gatewayCount }, { membership.quotaShare })
    private val lease = OrderLeaseManager(settings, table, timeSource, log)
    private val storeWatch = StoreWatch(settings.instance) { membership.reachablePeers }
    private val storeSync: StoreSync = StoreSync(state, table, log, SharedStoreEvents())
    private val cacheEvents =
        CacheEventSubscriptions(state, replicas, log, metrics) { membership.reachablePeers }
    private val peers: PeerExchange = PeerExchange(state, membership, log, metrics, cacheEvents, LeaseAndReads())
    private val quarantineSync = QuarantineSync(state, table, log) { membership.reachablePeers }
    private val weightRollout: WeightRolloutController =
        WeightRolloutController(state, lease, replicas, log, { !lease.isHeld && peers.peerHoldsLease }) {
            peers.sendSoon()
        }
    private val rollouts: RolloutController? =
        state.rollouts?.let { RolloutController(state, it, table, OtherGateways(), log) }
    private val timers: ScheduledExecutorService = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "timeouts").apply { isDaemon = true }
    }.apply { removeOnCancelPolicy = true }
    private val plannedStop =
        PlannedStop(timeSource, BALANCER_REACTION_TIME, settings.bounds.stopGrace - STOP_MARGIN)
    private val serviceChooser: ServiceEndpointChooser =
        ServiceEndpointChooser(state.loads, settings.dataCentre, state.capacities, { membership.gatewayCount })
    private val callGate = ServiceCallGate(state, serviceChooser, CallGateEvents(state, log, metrics))
    private val gate = GenerationGate(state, log, metrics)
    private val handler = RequestHandler(state, createForwardingContext(), log, metrics, plannedStop)
    private val server = GatewayServer(settings, handler, Pages(), log, callersSocket)

    // Kept in a field, since java.util.logging only weakly references loggers and loses their level with them.
    private val jettyResponseLogger = Logger.getLogger("org.eclipse.jetty.server.Response")

    /** Starts all background tasks and the server. The process is ready once it has read the state of the fleet. */
    public fun start() {
        // Libraries log to java.util.logging, which starts faster than tinylog; events of the gateway go to EventLog.
        Logger.getLogger("").level = Level.WARNING
        // Jetty logs each connection that a caller closes during a response. EventLog has it as the request's outcome.
        jettyResponseLogger.level = Level.OFF
        log.write("start", "data_centre" to settings.dataCentre, "callers" to settings.callers)
        metrics.registerGauge("celerywalk.requests.open") { handler.openRequestCount }
        metrics.registerGauge("celerywalk.log.dropped") { log.droppedLines }
        metrics.registerGauge("celerywalk.confirmation.age.ms") {
            state.confirmation.age()?.inWholeMilliseconds ?: -1
        }
        metrics.registerGauge("celerywalk.quarantine.parts") { state.quarantine.quarantinedParts.size }
        metrics.registerGauges("celerywalk.endpoint.limit", "endpoint") { callGate.limits }
        metrics.registerGauges("celerywalk.calls.waiting", "service") { callGate.waitingCalls }
        metrics.registerGauge("celerywalk.admission.waiting") { gate.waitingCount }
        val threadTimes = ThreadProcessorTimes()
        metrics.registerGauges("celerywalk.processor.seconds", "threads") {
            threadTimes.timeByGroup().mapValues { (_, time) -> time.toDouble(DurationUnit.SECONDS) }
        }
        storeSync.start()
        membership.start()
        server.start()
        peers.start()
        quarantineSync.start()
        cacheEvents.start()
        weightRollout.start()
        startRollouts()
        log.write("listening")
    }

    /**
     * Reports not ready, completes open requests, closes all connections, and returns before the stop grace period
     * ends. A request that is not complete by then gets a final response that says whether it may have run. A request
     * that a caller sends later stays unread, even before the process has ended.
     */
    public fun stop() {
        log.write("stop", "open" to handler.openRequestCount)
        val stoppedAt = timeSource.markNow()
        plannedStop.begin()
        weightRollout.stopOrdering()
        rollouts?.stopWriting()
        membership.leave()
        while (!plannedStop.isRefusing) sleep(DRAIN_CHECK_INTERVAL)
        awaitOpenRequests { plannedStop.timeLeft }
        handler.endOpenRequests()
        val endedAt = timeSource.markNow()
        awaitOpenRequests { FINAL_RESPONSE_TIME - endedAt.elapsedNow() }
        val areConnectionsClosed = server.stop(FINAL_RESPONSE_TIME - endedAt.elapsedNow())
        log.write(
            "stopped",
            "open" to handler.openRequestCount,
            "connections_closed" to areConnectionsClosed,
            "after" to stoppedAt.elapsedNow(),
        )
        log.close()
    }

    private fun startRollouts() {
        val routing = state.rollouts ?: return
        metrics.registerGauges("celerywalk.rollout.phase", "service") {
            routing.current.mapValues { (_, rollout) -> rollout.phase.ordinal }
        }
        metrics.registerGauges("celerywalk.rollout.responses", "service") {
            routing.current.mapValues { (_, rollout) -> rollout.totals.values.sumOf { it.new.responses } }
        }
        metrics.registerGauges("celerywalk.rollout.bad.responses", "service") {
            routing.current.mapValues { (_, rollout) -> rollout.totals.values.sumOf { it.new.failures + it.new.slow } }
        }
        rollouts?.start()
    }

    private fun awaitOpenRequests(timeLeft: () -> Duration) {
        while (timeLeft() > Duration.ZERO && handler.openRequestCount > 0) sleep(DRAIN_CHECK_INTERVAL)
    }

    private fun sleep(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)

    private fun createForwardingContext(): ForwardingContext {
        val prefillSpeed = settings.prefillTokensPerMillisecond
        val chooser = ModelReplicaChooser(
            timeSource,
            state.loads,
            state.locations,
            settings.dataCentre,
            prefillSpeed,
            ranksWork = settings.admitsByLoad,
        )
        val client = EndpointClient()
        return ForwardingContext(
            state,
            SendContext(client, replicas, log, metrics, ResponseMemory(), timers),
            EndpointChoosers(
                GenerationPlacer(state, chooser, log, gate, peers::announcePlacement),
                serviceChooser,
                callGate,
            ),
            QuarantineEnforcer(state, client, log) { membership.reachablePeers },
            gate,
        )
    }

    private fun platformClient() = OkHttpClient.Builder()
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .build()

    private inner class SharedStoreEvents : StoreEvents {
        // The holder of the lease may order weights only while it reads the store itself.
        override fun isWatcher(): Boolean = lease.isHeld || storeWatch.isWatcher

        override fun hasFollowers(): Boolean = storeWatch.isShared

        override fun onChange() = peers.sendSoon(isComplete = true)

        override fun onNewWeights() = weightRollout.runSoon()
    }

    private inner class LeaseAndReads : StoreLink {
        override fun holdsLease(): Boolean =
            !plannedStop.hasBegun && lease.isHeld && storeSync.hasReadWithin(LEASE_CLAIM_MAX_AGE)

        override fun readSoon() = storeSync.readSoon()

        override fun rolloutReports() = rollouts?.reports().orEmpty()
    }

    private inner class OtherGateways : RolloutPeers {
        override fun mayWrite(): Boolean =
            (lease.isHeld || !peers.peerHoldsLease) && lease.confirmedFencingToken() != null

        override fun silence(): Map<String, Duration> = membership.silence

        override fun sendSoon() = peers.sendSoon()
    }

    private inner class Pages : StatusPages {
        override fun isReady(): Boolean = !plannedStop.hasBegun &&
            state.activeConfiguration != null &&
            storeSync.hasReadRegistry &&
            state.confirmation.isWithin(settings.bounds.keyWithdrawal - CONFIRMATION_MARGIN)

        override fun metrics(): String = metrics.scrape()
    }

    private companion object {
        const val MAX_IDLE_CONNECTIONS = 48
        const val KEEP_ALIVE_SECONDS = 5L

        val CONNECT_TIMEOUT = 400.milliseconds
        val CONFIRMATION_MARGIN = 300.milliseconds

        // The load balancer checks readiness once a second and stops sending after two failed checks. Requests that
        // arrive later are refused.
        val BALANCER_REACTION_TIME = 2500.milliseconds

        // If the lease holder has not read the store for this long, other gateways may take over the weight orders.
        val LEASE_CLAIM_MAX_AGE = 1500.milliseconds
        val STOP_MARGIN = 1.seconds

        // Part of the margin in which the requests that are still open get their final response.
        val FINAL_RESPONSE_TIME = 500.milliseconds
        val DRAIN_CHECK_INTERVAL = 50.milliseconds
    }
}
