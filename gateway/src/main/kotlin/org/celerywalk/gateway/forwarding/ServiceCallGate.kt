package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.limit.CallAdmission
import org.celerywalk.limit.CallDecision
import org.celerywalk.limit.QueuedCall
import org.celerywalk.routing.ServiceEndpointChooser
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Call that asks for a place at an endpoint of [service].
 *
 * @property rank urgency; 0 is the most urgent.
 * @property maxWait time that the call may wait for its place.
 */
internal class GatedCall(
    val exchange: CallerExchange,
    val service: String,
    val rank: Int,
    val maxWait: Duration,
    val endpoints: List<RegisteredEndpoint>,
)

/** Decision of a [ServiceCallGate]. */
internal sealed interface CallGateDecision {
    /** The call is sent to the endpoint of [pass], which must be closed, after having waited for [waited]. */
    class Admitted(val pass: CallPass, val waited: Duration) : CallGateDecision

    /** The call is not sent. */
    class Refused(val reason: String, val retryAfter: Duration) : CallGateDecision

    /** The request was cancelled while it waited. */
    data object Cancelled : CallGateDecision
}

/**
 * Admits calls to the endpoints of plain services within the endpoints' concurrency limits. Thread-safe.
 *
 * A call that finds room passes on its own thread, without a timer. Another one blocks its thread until a call that
 * ends makes room.
 */
internal class ServiceCallGate(
    private val state: FleetState,
    private val chooser: ServiceEndpointChooser,
    private val events: CallGateEvents,
    private val random: Random = Random.Default,
) {
    private class Waiter(val call: GatedCall) {
        private val decided = CountDownLatch(1)

        @Volatile
        var decision: CallDecision? = null
            private set

        // Written under the lock of the service's admission, read after the decision.
        var pass: CallPass? = null

        fun decide(newDecision: CallDecision) {
            decision = newDecision
            decided.countDown()
        }

        fun await(duration: Duration): Boolean = decided.await(duration.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    private val admissions = ConcurrentHashMap<String, CallAdmission<Waiter>>()

    /** Number of waiting calls by service. */
    val waitingCalls: Map<String, Int> get() = admissions.mapValues { (_, admission) -> admission.waitingCalls }

    /** Concurrency limits by endpoint ID. */
    val limits: Map<String, Int> get() = state.capacities.asMap().mapValues { (_, capacity) -> capacity.limit }

    /** Returns true if an endpoint of [endpoints] has room now. */
    fun hasRoom(endpoints: List<RegisteredEndpoint>): Boolean = chooser.chooseWithRoom(endpoints) != null

    /** Takes a place at an endpoint for [call]. Blocks the thread while the call waits. */
    fun enter(call: GatedCall): CallGateDecision {
        val admission = admissions[call.service] ?: admissions.computeIfAbsent(call.service) { createAdmission() }
        val waiter = Waiter(call)
        val startedAt = state.timeSource.markNow()
        val queued = QueuedCall(call.rank, startedAt + call.maxWait, waiter)
        val decision = when (val first = admission.offer(queued) { releaseInterval(call) }) {
            CallDecision.Waiting -> await(admission, queued)
            else -> first
        }
        val waited = startedAt.elapsedNow()
        if (decision !is CallDecision.Admitted || waited >= MIN_LOGGED_WAIT) {
            events.record(call, decision, waiter.pass?.endpoint, waited, admission.waitingCalls)
        }
        return when (decision) {
            CallDecision.Admitted -> CallGateDecision.Admitted(checkNotNull(waiter.pass), waited)
            CallDecision.Waiting -> CallGateDecision.Cancelled
            is CallDecision.Refused -> CallGateDecision.Refused(decision.reason.code, decision.retryAfter)
        }
    }

    // Returns Waiting if the request was cancelled meanwhile.
    private fun await(admission: CallAdmission<Waiter>, queued: QueuedCall<Waiter>): CallDecision {
        val waiter = queued.content
        // Peers' calls also end, and time-outs are due; neither wakes a thread of this process.
        while (!waiter.await(RECHECK_INTERVAL)) {
            if (waiter.call.exchange.cancelReason != null) break
            admission.decideWaiting()
        }
        if (waiter.call.exchange.cancelReason == null) return checkNotNull(waiter.decision)
        admission.withdraw(queued)
        // A place that was given to the call at the same moment goes to the next one.
        waiter.pass?.close()
        return CallDecision.Waiting
    }

    private fun createAdmission() = CallAdmission<Waiter>(state.timeSource, random, ::tryStart) { waiter, decision ->
        waiter.decide(decision)
    }

    private fun tryStart(waiter: Waiter): Boolean {
        val call = waiter.call
        // A call whose caller has left takes no place; its thread withdraws it.
        val endpoint = if (call.exchange.cancelReason == null) chooser.chooseWithRoom(call.endpoints) else null
        if (endpoint != null) {
            val capacity = state.capacities.getOrCreate(endpoint.id, endpoint.slots)
            waiter.pass = CallPass(endpoint, state.loads.getOrCreate(endpoint.id), capacity, state.timeSource) {
                admissions[call.service]?.decideWaiting()
                events.recordCapacity(endpoint, capacity, chooser.slowness(endpoint, call.endpoints))
            }
        }
        return endpoint != null
    }

    // By Little's law, from the calls of this process and the mean time that they take.
    private fun releaseInterval(call: GatedCall): Duration {
        val loads = call.endpoints.map { state.loads.getOrCreate(it.id) }
        val ownCalls = loads.sumOf { it.ownWork.calls }
        val duration = loads.fold(Duration.ZERO) { sum, load -> sum + load.averageServiceTime } / loads.size
        return duration / ownCalls.coerceAtLeast(1)
    }

    private companion object {
        val RECHECK_INTERVAL = 25.milliseconds
        val MIN_LOGGED_WAIT = 1.milliseconds
    }
}
