package org.celerywalk.rollout

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Replicas that a request goes to. */
public enum class RolloutArm { OLD, NEW }

/**
 * What a gateway reports to the others about a roll-out.
 *
 * @property isBad true if the sender has found the new version to be worse.
 * @property isDrained true if the sender has had no request at an old replica since it sends only to new ones.
 * @property epoch number of the sender's process, which tells counts before and after a restart apart.
 * @property evidence responses to the sender by route, counted from the start of its process.
 */
public data class RolloutReport(
    val order: RolloutOrder,
    val phase: RolloutPhase,
    val isBad: Boolean,
    val isDrained: Boolean,
    val epoch: Long,
    val evidence: Map<String, RouteEvidence>,
)

/**
 * Part of one gateway in a roll-out: which arm a request goes to, what its responses show, and what peers report.
 *
 * A gateway that finds the new version to be worse, or hears so, stops sending to it at once, before the owner has
 * written the phase. Safe for use from several threads.
 *
 * @param gateway name of this gateway.
 * @param canaryShare greatest share of the requests that the new version may get in the phase `canary`.
 */
public class GatewayRollout(
    private val gateway: String,
    order: RolloutOrder,
    canaryShare: Double,
    private val epoch: Long,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val credit = CanaryCredit(canaryShare)
    private val evidence = FleetEvidence()
    private val verdict = RolloutVerdict()
    private val ownCounts = HashMap<String, RouteEvidence>()
    private val oldTimes = HashMap<String, ResponseTimes>()
    private var phaseSince: ComparableTimeMark = timeSource.markNow()
    private val drainedPeers = HashSet<String>()

    /** The order; its identity changes if the store has lost it and operators have written it again. */
    @Volatile
    public var order: RolloutOrder = order
        private set

    @Volatile
    public var phase: RolloutPhase = RolloutPhase.CANARY
        private set

    /** True if this gateway or a peer has found the new version to be worse. */
    @Volatile
    public var isBad: Boolean = false
        private set

    /** True if the evidence is large enough to promote early. */
    public val isSound: Boolean @Synchronized get() = verdict.isSound

    /** What this gateway itself has found, or null. */
    public val finding: RolloutFinding? @Synchronized get() = verdict.finding

    /** Time since this process knows the current phase. */
    public val timeInPhase: Duration @Synchronized get() = phaseSince.elapsedNow()

    /** Responses to all gateways by route. */
    public val totals: Map<String, RouteEvidence> @Synchronized get() = evidence.totals.toMap()

    /** Arm of a request that must go on, and of all others in a phase without canary requests. */
    public val mainArm: RolloutArm
        get() = when (phase) {
            RolloutPhase.COMPLETED -> RolloutArm.NEW
            RolloutPhase.PROMOTING -> if (isBad) RolloutArm.OLD else RolloutArm.NEW
            else -> RolloutArm.OLD
        }

    /** Advances to [reported], and takes over the identity of the same order in a later era of the store. */
    @Synchronized
    public fun advance(reported: RolloutPhase, order: RolloutOrder) {
        if (order.id > this.order.id) this.order = order
        val next = phase.advance(reported)
        if (next == phase) return
        phase = next
        phaseSince = timeSource.markNow()
        if (next == RolloutPhase.PROMOTING) drainedPeers.clear()
    }

    /** Takes the credit to send a request of [route] to the new version; returns false if it must not go there. */
    public fun tryTakeCanary(route: String): Boolean {
        if (phase != RolloutPhase.CANARY || isBad) return false
        return synchronized(this) { credit.tryTake(route) }
    }

    /** Gives back the credit for a request of [route] that was not sent. */
    @Synchronized
    public fun giveBackCanary(route: String): Unit = credit.giveBack(route)

    /** Records that the first attempt of a request of [route] goes to an old replica. */
    @Synchronized
    public fun recordOldRequest(route: String) {
        if (phase == RolloutPhase.CANARY) credit.recordOldRequest(route)
    }

    /** Records a response of [arm] on [route] that took [time]. */
    @Synchronized
    public fun recordResponse(arm: RolloutArm, route: String, isFailure: Boolean, time: Duration) {
        if (phase.isFinal || route !in ownCounts && ownCounts.size >= MAX_ROUTES) return
        val times = oldTimes.getOrPut(route) { ResponseTimes() }
        val isSlow = !isFailure && time > times.slowThreshold
        if (arm == RolloutArm.OLD && !isFailure) times.record(time)
        val response = ArmEvidence(1, if (isFailure) 1 else 0, if (isSlow) 1 else 0)
        val change = if (arm == RolloutArm.OLD) RouteEvidence(old = response) else RouteEvidence(new = response)
        ownCounts[route] = (ownCounts[route] ?: RouteEvidence()) + change
    }

    /** Merges the [report] of [peer] on the same order. */
    @Synchronized
    public fun merge(peer: String, report: RolloutReport) {
        advance(report.phase, report.order)
        if (report.isBad) isBad = true
        if (report.isDrained) drainedPeers += peer else drainedPeers -= peer
        evidence.record(peer, report.epoch, report.evidence)
    }

    /** Judges the evidence; returns true if this gateway thereby finds the new version to be worse. */
    @Synchronized
    public fun judge(): Boolean {
        if (phase.isFinal) return false
        evidence.record(gateway, epoch, ownCounts)
        val wasFound = verdict.finding != null
        verdict.update(evidence.totals)
        if (verdict.finding != null) isBad = true
        return !wasFound && verdict.finding != null
    }

    /**
     * Returns true if this gateway sends only to new replicas and no request has been left at old ones.
     *
     * @param oldCalls requests of this gateway that are running at old replicas.
     */
    @Synchronized
    public fun isDrained(oldCalls: Int): Boolean =
        phase == RolloutPhase.COMPLETED ||
            phase == RolloutPhase.PROMOTING && !isBad && oldCalls == 0 && timeInPhase >= SETTLE_TIME

    /** Returns true if [peer] has reported that it is drained. */
    @Synchronized
    public fun isPeerDrained(peer: String): Boolean = peer in drainedPeers

    /** Returns the report for the other gateways; [oldCalls] requests of this one are running at old replicas. */
    @Synchronized
    public fun report(oldCalls: Int): RolloutReport =
        RolloutReport(order, phase, isBad, isDrained(oldCalls), epoch, ownCounts.toMap())

    private companion object {
        const val MAX_ROUTES = 64

        // A request that chose an old replica before the phase changed is counted there by then.
        val SETTLE_TIME = 500.milliseconds
    }
}
