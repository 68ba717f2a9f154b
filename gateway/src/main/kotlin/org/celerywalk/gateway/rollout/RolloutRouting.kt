package org.celerywalk.gateway.rollout

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.RolloutBounds
import org.celerywalk.rollout.GatewayRollout
import org.celerywalk.rollout.RolloutArm
import org.celerywalk.rollout.RolloutOrder
import org.celerywalk.rollout.RolloutPhase
import org.celerywalk.rollout.RolloutReport
import org.celerywalk.rollout.VersionArms
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Roll-outs that this gateway takes part in, and the endpoints that its requests may go to because of them.
 *
 * Exists only if the settings allow roll-outs. Replicas of another version than the one in use get no requests without
 * an order. Safe for use from several threads.
 */
internal class RolloutRouting(
    private val instance: String,
    private val bounds: RolloutBounds,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val epoch = Random.nextLong()
    private val rollouts = ConcurrentHashMap<String, GatewayRollout>()
    private val orders = ConcurrentHashMap<String, RolloutOrder>()
    private val versionsInUse = ConcurrentHashMap<String, String>()

    /** The roll-outs by service; one that has ended stays until the next order. */
    val current: Map<String, GatewayRollout> get() = rollouts

    /** The operators' latest order of each service, as this gateway has read it. */
    val ordered: Map<String, RolloutOrder> get() = orders

    /** Records an order that was read in the operators' table. */
    fun recordOrder(order: RolloutOrder) {
        orders[order.service] = order
    }

    /** Takes over the progress of [order] from the store or a peer; returns true if this changes its phase. */
    @Synchronized
    fun adopt(order: RolloutOrder, phase: RolloutPhase): Boolean {
        val known = rollouts[order.service]
        if (known != null && !known.order.isSameAs(order) && known.order.id > order.id) return false
        val rollout = known?.takeIf { it.order.isSameAs(order) }
            ?: GatewayRollout(instance, order, bounds.canaryShare, epoch, timeSource)
        val before = known?.takeIf { it === rollout }?.phase
        rollout.advance(phase, order)
        rollouts[order.service] = rollout
        return rollout.phase != before
    }

    /** Merges the [report] of the gateway [peer]; returns true if it changes the phase. */
    fun merge(peer: String, report: RolloutReport): Boolean {
        val isChanged = adopt(report.order, report.phase)
        rollouts[report.order.service]?.takeIf { it.order.isSameAs(report.order) }?.merge(peer, report)
        return isChanged
    }

    /** Returns those of the [endpoints] of [service] that any request may be sent to. */
    fun eligible(service: String, endpoints: List<RegisteredEndpoint>): List<RegisteredEndpoint> {
        val rollout = rollouts[service]
        val first = endpoints.firstOrNull()?.softwareVersion
        return when {
            rollout?.mainArm == RolloutArm.NEW -> endpoints.filter { it.softwareVersion == rollout.order.version }
            rollout == null && endpoints.all { it.softwareVersion == first } -> endpoints
            else -> {
                val excluded = rollout?.order?.version
                val inUse = versionInUse(service, endpoints, excluded)
                endpoints.filter { it.softwareVersion == inUse && (excluded == null || inUse != excluded) }
            }
        }
    }

    /**
     * Returns the replicas of the new version if a request of [route] is to be sent to them now, otherwise none. The
     * caller gives a request back that it does not send ([giveBack]).
     */
    fun takeCanary(service: String, route: String, endpoints: List<RegisteredEndpoint>): List<RegisteredEndpoint> {
        val rollout = rollouts[service]?.takeIf { it.phase == RolloutPhase.CANARY } ?: return emptyList()
        val (new, old) = endpoints.partition { it.softwareVersion == rollout.order.version }
        val isTaken = new.isNotEmpty() && rollout.tryTakeCanary(route)
        return if (isTaken) VersionArms.canaryReplicas(new, old.size, bounds.canaryShare) else emptyList()
    }

    fun giveBack(service: String, route: String) {
        rollouts[service]?.giveBackCanary(route)
    }

    /** Records that the first attempt of a request of [route] goes to [endpoint]. */
    fun recordFirstSend(route: String, endpoint: RegisteredEndpoint) {
        val rollout = rollouts[endpoint.service] ?: return
        if (armOf(rollout, endpoint) == RolloutArm.OLD) rollout.recordOldRequest(route)
    }

    /** Records what a request of [route] to [endpoint] has shown after [time]. */
    fun recordResponse(route: String, endpoint: RegisteredEndpoint, isFailure: Boolean, time: Duration) {
        val rollout = rollouts[endpoint.service] ?: return
        rollout.recordResponse(armOf(rollout, endpoint), route, isFailure, time)
    }

    /** Returns true if the version of [order] already gets all requests of its service. */
    fun isInUse(order: RolloutOrder, endpoints: List<RegisteredEndpoint>): Boolean =
        versionInUse(order.service, endpoints, null) == order.version

    private fun versionInUse(service: String, endpoints: List<RegisteredEndpoint>, excluded: String?): String? {
        val version = VersionArms.versionInUse(endpoints, versionsInUse[service], excluded)
        if (version != null) versionsInUse[service] = version
        return version
    }
}

internal fun armOf(rollout: GatewayRollout, endpoint: RegisteredEndpoint): RolloutArm =
    if (endpoint.softwareVersion == rollout.order.version) RolloutArm.NEW else RolloutArm.OLD
