package org.celerywalk.gateway.rollout

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.rollout.GatewayRollout
import org.celerywalk.rollout.RolloutOrder
import org.celerywalk.rollout.RolloutPhase
import org.celerywalk.rollout.RolloutReport
import org.celerywalk.rollout.RolloutState
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the roll-outs depend on the other gateways. */
internal interface RolloutPeers {
    /** Returns true if this gateway may write the rows now; the answer may need a call to the store. */
    fun mayWrite(): Boolean

    /** Returns the names of the other gateways with the time since they were heard, infinite if they never were. */
    fun silence(): Map<String, Duration>

    /** Reports this gateway's roll-outs to the others without waiting for the next interval. */
    fun sendSoon()
}

/** Judges the roll-outs' evidence at each gateway, and writes their rows while this gateway is the owner. */
internal class RolloutController(
    private val state: FleetState,
    private val routing: RolloutRouting,
    private val table: PlatformTable,
    private val peers: RolloutPeers,
    private val log: EventLog,
) : AutoCloseable {
    private class Reads {
        var lastAt: ComparableTimeMark? = null
    }

    private val store = RolloutStore(table)
    private val writer = RolloutWriter(state, routing, store, peers, log, ::adopt)
    private val reads by table.era.scoped { Reads() }
    private val refusedOrders = HashMap<String, RolloutOrder>()
    private val relocatedFor = HashSet<RolloutOrder>()
    private val task = PeriodicTask("rollouts", RUN_DELAY, log, ::runOnce)

    @Volatile
    private var isStopped = false

    fun start() = task.start()

    /** Stops writing rows; the evidence is still judged. */
    fun stopWriting() {
        isStopped = true
    }

    override fun close() = task.close()

    /** Returns the reports for the other gateways by service. */
    fun reports(): Map<String, RolloutReport> = routing.current.mapValues { (service, rollout) ->
        rollout.report(state.oldCalls(service, rollout))
    }

    private fun runOnce() {
        routing.current.forEach { (service, rollout) ->
            judge(rollout)
            relocateStreams(service, rollout)
        }
        val isActive = routing.current.values.any { !it.phase.isFinal } || routing.ordered.values.any(::isPending)
        val sinceRead = reads.lastAt?.elapsedNow() ?: Duration.INFINITE
        if (sinceRead == Duration.INFINITE || isActive && sinceRead >= READ_INTERVAL) {
            val isOwner = isActive && !isStopped && peers.mayWrite()
            // The others hear of a change from the owner.
            if (isOwner || sinceRead >= FOLLOWER_READ_INTERVAL) readRows(isOwner)
        }
    }

    private fun readRows(isOwner: Boolean) {
        val reads = reads
        store.read().fold(
            { log.write("rollouts_unread", "cause" to it.message) },
            { stored ->
                reads.lastAt = state.timeSource.markNow()
                stored.rows.forEach { (service, row) ->
                    row.current?.let { adopt(service, it, "store") }
                    routing.ordered[service]?.takeIf { it.id == row.refused }?.let { refusedOrders[service] = it }
                }
                if (isOwner) (routing.ordered.keys + routing.current.keys).forEach { writer.write(it, stored) }
            },
        )
    }

    private fun isPending(order: RolloutOrder): Boolean =
        refusedOrders[order.service] != order && routing.current[order.service]?.order != order

    private fun judge(rollout: GatewayRollout) {
        if (!rollout.judge()) return
        val finding = rollout.finding ?: return
        log.write(
            "rollout_worse",
            "service" to rollout.order.service,
            "to" to rollout.order.version,
            "route" to finding.route,
            "signal" to finding.signal,
            "old" to finding.evidence.old,
            "new" to finding.evidence.new,
            "phase" to RolloutDocument.phaseName(rollout.phase),
        )
        peers.sendSoon()
    }

    // Long streams at old replicas would not end by the deadline.
    private fun relocateStreams(service: String, rollout: GatewayRollout) {
        if (rollout.phase != RolloutPhase.PROMOTING || rollout.isBad || !relocatedFor.add(rollout.order)) return
        state.oldEndpoints(service, rollout).forEach { endpoint ->
            val relocated = state.streams.relocateFrom(endpoint.id)
            if (relocated > 0) log.write("streams_relocated", "endpoint" to endpoint.id, "streams" to relocated)
        }
    }

    private fun adopt(service: String, current: RolloutState, source: String) {
        writer.recordStart(current)
        if (!routing.adopt(current.order, current.phase)) return
        log.write(
            "rollout_phase",
            "service" to service,
            "to" to current.order.version,
            "phase" to RolloutDocument.phaseName(current.phase),
            "source" to source,
        )
        peers.sendSoon()
    }

    private companion object {
        val RUN_DELAY = 100.milliseconds
        val READ_INTERVAL = 500.milliseconds
        val FOLLOWER_READ_INTERVAL = 2.seconds
    }
}
