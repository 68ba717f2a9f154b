package org.celerywalk.gateway.rollout

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.platform.wire.WriteOutcome
import org.celerywalk.rollout.GatewayRollout
import org.celerywalk.rollout.OrderCheck
import org.celerywalk.rollout.OwnerFacts
import org.celerywalk.rollout.OwnerStep
import org.celerywalk.rollout.RolloutArm
import org.celerywalk.rollout.RolloutOrder
import org.celerywalk.rollout.RolloutOwner
import org.celerywalk.rollout.RolloutState
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes the rows of the roll-outs while this gateway is the owner. Used by one thread. */
internal class RolloutWriter(
    private val state: FleetState,
    private val routing: RolloutRouting,
    private val store: RolloutStore,
    private val peers: RolloutPeers,
    private val log: EventLog,
    private val onWritten: (service: String, RolloutState, source: String) -> Unit,
) {
    private val orderSeenAt = HashMap<RolloutOrder, ComparableTimeMark>()
    private val orderedAtMillis = HashMap<String, Long>()
    private val peerSeenAt = HashMap<String, ComparableTimeMark>()

    /** Records when the order of [current] was given. */
    fun recordStart(current: RolloutState) {
        orderedAtMillis[current.order.service] = current.orderedAtMillis
    }

    /** Writes the next row of [service], which [stored] has as it was just read, if one is due. */
    fun write(service: String, stored: StoredRollouts) {
        val row = stored.rows[service]
        val order = routing.ordered[service]
        val rollout = routing.current[service]
        val known = rollout?.let {
            RolloutState(it.order, it.phase, orderedAtMillis[service] ?: stored.clockMillis)
        }
        val facts = OwnerFacts(
            order = order,
            check = if (order == null) OrderCheck.Undecided else check(order),
            known = known,
            nowMillis = stored.clockMillis,
            isBad = rollout?.isBad ?: false,
            isSound = rollout?.isSound ?: false,
            timeInPhase = rollout?.timeInPhase ?: Duration.ZERO,
            isDrained = rollout != null && isFleetDrained(service, rollout),
        )
        RolloutOwner.nextStep(row, facts)?.let { store(service, it, stored, facts) }
    }

    private fun check(order: RolloutOrder): OrderCheck {
        val seenFor = orderSeenAt.getOrPut(order) { state.timeSource.markNow() }.elapsedNow()
        val services = state.activeConfiguration?.configuration?.services.orEmpty()
        val serving = state.directory.servingEndpoints(order.service)
        return when {
            order.duration <= Duration.ZERO -> OrderCheck.Invalid("duration is not positive")
            order.service in services && serving.any { it.softwareVersion == order.version } ->
                OrderCheck.Valid(routing.isInUse(order, serving))
            seenFor < REGISTRATION_TIME -> OrderCheck.Undecided
            order.service !in services -> OrderCheck.Invalid("unknown service")
            else -> OrderCheck.Invalid("no replica of the version is registered")
        }
    }

    // A gateway that was silent for as long accepts no request with a key.
    private fun isFleetDrained(service: String, rollout: GatewayRollout): Boolean =
        rollout.isDrained(state.oldCalls(service, rollout)) && peers.silence().all { (peer, silence) ->
            val known = peerSeenAt.getOrPut(peer) { state.timeSource.markNow() }.elapsedNow()
            rollout.isPeerDrained(peer) || minOf(silence, known) >= state.settings.bounds.keyWithdrawal
        }

    private fun store(service: String, step: OwnerStep, stored: StoredRollouts, facts: OwnerFacts) {
        val current = step.row.current
        val isRefusal = step.row.refused != stored.rows[service]?.refused
        val outcome = store.write(service, step.row, stored)
        val isWritten = outcome.getOrNull() is WriteOutcome.Written
        log.write(
            if (isRefusal) "rollout_refused" else "rollout_written",
            "service" to service,
            "to" to (if (isRefusal) facts.order?.version else current?.order?.version),
            "phase" to current?.phase?.let(RolloutDocument::phaseName),
            "reason" to step.reason,
            "elapsed_ms" to current?.let { stored.clockMillis - it.orderedAtMillis },
            "evidence" to routing.current[service]?.totals,
            "outcome" to outcome.fold({ it.message }, { if (isWritten) "written" else "conflict" }),
        )
        if (isWritten && current != null) onWritten(service, current, "own")
    }

    private companion object {
        // The registry is read once a second, and an endpoint may register shortly after the order was written.
        val REGISTRATION_TIME = 5.seconds
    }
}

/** Returns the endpoints of [service] that do not have the version that is rolled out. */
internal fun FleetState.oldEndpoints(service: String, rollout: GatewayRollout): List<RegisteredEndpoint> =
    directory.endpoints.values.filter { it.service == service && armOf(rollout, it) == RolloutArm.OLD }

/** Returns the number of this gateway's requests that are running at old replicas of [service]. */
internal fun FleetState.oldCalls(service: String, rollout: GatewayRollout): Int =
    oldEndpoints(service, rollout).sumOf { loads.asMap()[it.id]?.ownWork?.calls ?: 0 }
