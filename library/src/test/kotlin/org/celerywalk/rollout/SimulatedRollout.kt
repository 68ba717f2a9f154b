package org.celerywalk.rollout

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Fault of a version under test.
 *
 * @property share share of its responses that are bad while the fault shows.
 * @property from time after the order from which it shows.
 * @property route the only route on which it shows, or null for all.
 * @property isSlow true if bad responses are slow, false if they are failures.
 */
internal data class VersionFault(
    val share: Double = 0.0,
    val from: Duration = Duration.ZERO,
    val route: String? = null,
    val isSlow: Boolean = false,
    val onlyUnderLoad: Boolean = false,
)

/**
 * Faults of a fleet; each happens at a time that the seed gives.
 *
 * @property disruption share of all requests that fail in a disruption of the whole fleet.
 * @property isDisruptedLate true if the disruption begins when the version is promoted, false if it ends before.
 */
internal data class FleetFaults(
    val lostMessages: Double = 0.0,
    val restarts: Boolean = false,
    val outages: Boolean = false,
    val disruption: Double = 0.0,
    val isDisruptedLate: Boolean = false,
)

/** Generated history of one roll-out in a fleet of gateways with a store, in steps of 100 ms. */
internal class SimulatedRollout(
    private val seed: Int,
    private val fault: VersionFault,
    private val faults: FleetFaults,
) {
    /** What a request met, [at] after the order. */
    class Sent(val at: Duration, val arm: RolloutArm, val isCanary: Boolean, val isBad: Boolean)

    private class Late(val at: Duration, val act: () -> Unit)

    private val random = Random(seed)
    private val time = TestTimeSource()
    private val startedAt = time.markNow()
    private val order = RolloutOrder("s", "v2", DURATION, OrderId(1, 7))
    private val gateways = HashMap<Int, GatewayRollout>()
    private val late = mutableListOf<Late>()
    private var row: RolloutRow? = RolloutRow(RolloutState(order, RolloutPhase.CANARY, 0), null)
    private var copy = row
    private var copiedAt: Duration? = null
    private var owner = 0
    private val disruptedFrom = DURATION * if (faults.isDisruptedLate) 0.5 else random.nextDouble(0.1, 0.38)
    private val outageFrom = DURATION * random.nextDouble(0.05, 0.9)
    private val restoredAt = DURATION * random.nextDouble(0.2, 0.95)

    val sent = mutableListOf<Sent>()

    /** Final states that were written, in order; an older copy of the store takes back none. */
    val finalWrites = mutableListOf<RolloutPhase>()
    var finishedAt: Duration = Duration.INFINITE
        private set
    val outcome: RolloutPhase? get() = finalWrites.lastOrNull()

    private val now: Duration get() = startedAt.elapsedNow()
    private val isStoreUp get() = !faults.outages || now !in outageFrom..outageFrom + OUTAGE

    fun run(): SimulatedRollout {
        repeat(GATEWAYS) { start(it) }
        while (now < DURATION + 3.seconds) {
            time += STEP
            late.filter { it.at <= now }.also { late -= it.toSet() }.forEach { it.act() }
            if (faults.restarts && random.nextDouble() < RESTARTS_PER_STEP) start(random.nextInt(GATEWAYS))
            if (faults.restarts && random.nextDouble() < RESTARTS_PER_STEP) owner = random.nextInt(GATEWAYS)
            if (faults.outages) restoreStore()
            gateways.forEach { (name, gateway) -> serve(gateway, name) }
            gateways.forEach { (name, gateway) -> report(name, gateway) }
            if (isStoreUp) own(gateways.getValue(owner))
        }
        return this
    }

    private fun start(name: Int) {
        gateways[name] = GatewayRollout("g$name", order, SHARE, random.nextLong(), time)
        // A gateway that starts reads the row.
        if (isStoreUp) row?.current?.let { gateways.getValue(name).advance(it.phase, it.order) }
    }

    // Takes a copy of the store now and then, and goes back to it once.
    private fun restoreStore() {
        if (now < restoredAt && random.nextDouble() < 0.02) copy = row
        if (now >= restoredAt && copiedAt == null) {
            copiedAt = now
            row = copy
        }
    }

    private fun serve(gateway: GatewayRollout, name: Int) = repeat(random.nextInt(2 * REQUESTS_PER_STEP + 1)) {
        val route = ROUTES[if (random.nextDouble() < 0.2) 1 else 0]
        val isCanary = gateway.tryTakeCanary(route)
        val arm = if (isCanary) RolloutArm.NEW else gateway.mainArm
        if (arm == RolloutArm.OLD) gateway.recordOldRequest(route)
        val isVersionBad = arm == RolloutArm.NEW && shows(route, gateway) && random.nextDouble() < fault.share
        val isFleetBad = random.nextDouble() < if (isDisrupted) faults.disruption else BASE_FAILURES
        sent += Sent(now, arm, isCanary, isVersionBad || isFleetBad)
        val base = (20 + 70 * random.nextDouble()).milliseconds
        val taken = if (isVersionBad && fault.isSlow) base * 8 else base
        late += Late(now + taken) {
            if (gateways[name] === gateway) {
                gateway.recordResponse(arm, route, isFleetBad || isVersionBad && !fault.isSlow, taken)
            }
        }
    }

    private val isDisrupted get() = faults.disruption > 0 && now in disruptedFrom..disruptedFrom + DISRUPTION

    private fun shows(route: String, gateway: GatewayRollout): Boolean {
        val isLoaded = gateway.phase != RolloutPhase.CANARY
        return now >= fault.from && (fault.route ?: route) == route && (!fault.onlyUnderLoad || isLoaded)
    }

    private fun report(name: Int, gateway: GatewayRollout) {
        gateway.judge()
        val report = gateway.report(oldCalls = 0)
        gateways.keys.filter { it != name && random.nextDouble() >= faults.lostMessages }.forEach { peer ->
            late += Late(now + STEP * random.nextInt(1, 4)) { gateways.getValue(peer).merge("g$name", report) }
        }
    }

    private fun own(gateway: GatewayRollout) {
        val known = row?.current?.let { RolloutState(gateway.order, gateway.phase, it.orderedAtMillis) }
        val isDrained = gateway.isDrained(0) && gateways.keys.all { it == owner || gateway.isPeerDrained("g$it") }
        val millis = now.inWholeMilliseconds
        val check = OrderCheck.Undecided
        val facts =
            OwnerFacts(order, check, known, millis, gateway.isBad, gateway.isSound, gateway.timeInPhase, isDrained)
        val next = RolloutOwner.nextStep(row, facts)?.row ?: row
        val state = checkNotNull(next?.current)
        if (state.phase.isFinal && row?.current?.phase != state.phase) {
            finalWrites += state.phase
            finishedAt = minOf(finishedAt, now)
        }
        row = next
        gateway.advance(state.phase, state.order)
    }

    companion object {
        const val SHARE = 0.1
        const val SLACK = 50
        val DURATION = 40.seconds
        private const val GATEWAYS = 5
        private const val REQUESTS_PER_STEP = 4
        private const val BASE_FAILURES = 0.005
        private const val RESTARTS_PER_STEP = 0.01
        private val ROUTES = listOf("calls", "rare")
        private val STEP = 100.milliseconds
        private val OUTAGE = 5.seconds
        private val DISRUPTION = 4.seconds
    }
}
