package org.celerywalk.gateway.admission

import org.celerywalk.admission.Admission
import org.celerywalk.admission.AdmissionRequest
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.gateway.recordAdmission
import org.celerywalk.routing.Rank
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Room that the replicas of a service are expected to have for a generation now.
 *
 * @property timeToStart expected time until a replica starts the prefill, or null if none accepts the generation.
 * @property prefillTime expected time that the prefill takes.
 * @property work prompt tokens to read plus KV cache tokens to hold.
 */
internal class ExpectedRoom(val timeToStart: Duration?, val prefillTime: Duration, val work: Long)

/** Decision about a generation that is about to be placed on a replica. */
internal sealed interface GateDecision {
    /**
     * The generation is placed now.
     *
     * @property hasWaited true if the room that was expected before is outdated.
     * @property latePriority priority at the replica if the generation is late, otherwise null.
     */
    class Admitted(val passage: Passage, val hasWaited: Boolean, val latePriority: Int?) : GateDecision

    /** The generation is not executed. */
    class Refused(val reason: String, val retryAfter: Duration) : GateDecision

    /** The request was cancelled while it waited. */
    data object Cancelled : GateDecision
}

/** Admits generations to the replicas of services whose ranks or accounts compete, see [AdmissionPolicy]. */
internal class GenerationGate(
    private val state: FleetState,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) {
    private val gates = ConcurrentHashMap<String, ServiceGate>()

    @Volatile
    private var lastPolicy: AdmissionPolicy? = null

    /** Number of generations that wait. */
    val waitingCount: Int get() = gates.values.sumOf { it.queue.size }

    /** Returns true if generations of [service] need admission, so that late ones keep their rank. */
    fun isActive(admitted: AdmittedRequest, service: String): Boolean =
        state.settings.admitsByLoad && policyOf(admitted).isActive(service)

    /**
     * Decides whether the generation of [exchange], for which [room] is expected, is placed now. Blocks while it waits;
     * [estimateRoom] is called meanwhile, by any thread.
     */
    fun enter(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        room: ExpectedRoom,
        estimateRoom: () -> ExpectedRoom,
    ): GateDecision {
        val policy = policyOf(admitted)
        val gate = gates.computeIfAbsent(service) { ServiceGate(state, it) { account -> weight(account) } }
        gate.queue.lateRank = policy.lateRank(service)
        gate.recordCosts()
        val request = describe(exchange, admitted, service, room)
        val visit = GateVisit(exchange, request, gate, room, Rank.replicaPriority(request.rank, isDeferred = true))
        return when (val admission = gate.queue.offer(request, room.timeToStart)) {
            is Admission.Waiting -> decide(visit, gate.awaitDecision(exchange, request, estimateRoom), hasWaited = true)
            else -> decide(visit, admission, hasWaited = false)
        }
    }

    private fun decide(visit: GateVisit, admission: Admission, hasWaited: Boolean): GateDecision = when (admission) {
        is Admission.Admitted -> {
            val event = if (hasWaited) "waited" else "late"
            if (hasWaited || admission.isLate) record(visit, event, "generation_$event")
            val passage = Passage(visit.request, visit.gate, metrics, admission.isLate)
            GateDecision.Admitted(passage, hasWaited, visit.latePriority.takeIf { admission.isLate })
        }
        is Admission.Refused -> {
            val reason = admission.reason.name.lowercase()
            record(visit, "refused_$reason", "generation_refused", admission)
            GateDecision.Refused(reason, admission.retryAfter)
        }
        Admission.Waiting -> {
            record(visit, "left", "generation_left")
            GateDecision.Cancelled
        }
    }

    private fun record(visit: GateVisit, metric: String, event: String, refusal: Admission.Refused? = null) {
        val request = visit.request
        val shares = visit.gate.shares.describe()
        metrics.recordAdmission(visit.gate.service, metric)
        log.write(
            event,
            "id" to visit.exchange.caller.attemptId,
            "service" to visit.gate.service,
            "reason" to refusal?.reason?.name?.lowercase(),
            "retry_after_ms" to refusal?.retryAfter?.inWholeMilliseconds,
            "account" to request.account.ifEmpty { null },
            "rank" to request.rank,
            "work" to request.work,
            "start_in_ms" to visit.room.timeToStart?.inWholeMilliseconds,
            "latest_start_ms" to (request.latestStart - request.arrivedAt).inWholeMilliseconds,
            "waited_ms" to visit.enteredAt.elapsedNow().inWholeMilliseconds,
            "waiting" to visit.gate.queue.size,
            "ranks" to shares.ranks,
            "accounts" to shares.accounts,
            "shares_ms_ago" to visit.gate.costsAge.inWholeMilliseconds,
            "peers_ms_ago" to state.loads.peerReportAge?.inWholeMilliseconds,
        )
    }

    private fun describe(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        room: ExpectedRoom,
    ): AdmissionRequest {
        val arrivedAt = state.timeSource.markNow() - exchange.elapsed()
        // A route without a target only limits the time until the complete answer.
        val target = admitted.route.latencyTarget.takeIf { it > Duration.ZERO } ?: admitted.route.timeout
        val startTime = maxOf(target - room.prefillTime, target * MIN_START_SHARE)
        return AdmissionRequest(
            account = admitted.account?.name.orEmpty(),
            route = admitted.route.name,
            rank = Rank.ofPriority(admitted.rankAt(service)),
            work = room.work,
            arrivedAt = arrivedAt,
            latestStart = arrivedAt + startTime,
        )
    }

    private fun policyOf(admitted: AdmittedRequest): AdmissionPolicy =
        lastPolicy?.takeIf { it.activeConfiguration === admitted.activeConfiguration }
            ?: AdmissionPolicy(admitted.activeConfiguration).also { lastPolicy = it }

    private fun weight(account: String) = lastPolicy?.weight(account) ?: 1.0

    private inner class GateVisit(
        val exchange: CallerExchange,
        val request: AdmissionRequest,
        val gate: ServiceGate,
        val room: ExpectedRoom,
        val latePriority: Int,
    ) {
        val enteredAt = state.timeSource.markNow()
    }

    private companion object {
        // A prompt whose prefill takes longer than the target still starts on a replica with little work.
        const val MIN_START_SHARE = 0.25
    }
}

/** Admission of one generation, until it ends. */
internal class Passage(
    private val request: AdmissionRequest,
    private val gate: ServiceGate,
    private val metrics: GatewayMetrics,
    private val isLate: Boolean,
) {
    private var isRecorded = false

    /** Compares the estimate with the time at which the answer began; later calls have no effect. */
    fun recordAnswer(elapsed: Duration, target: Duration) {
        if (isRecorded) return
        isRecorded = true
        val expected = if (isLate) "late" else "in_time"
        metrics.recordAdmission(gate.service, "expected_${expected}_was_${if (elapsed > target) "late" else "in_time"}")
    }

    /** Takes the generation's work back from its account's service, since no replica has executed it. */
    fun withdraw() = gate.shares.withdraw(request.account, request.rank, request.work)
}
