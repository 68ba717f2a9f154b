package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.limit.CallDecision
import org.celerywalk.limit.EndpointCapacity
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs
import kotlin.time.Duration

/** Writes the decisions of a [ServiceCallGate], with their inputs, to log and metrics. */
internal class CallGateEvents(
    private val state: FleetState,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) {
    private val loggedLimits = ConcurrentHashMap<String, Int>()

    /** Records the decision about a [call] that has not passed at once. */
    fun record(call: GatedCall, decision: CallDecision, endpoint: RegisteredEndpoint?, waited: Duration, waiting: Int) {
        val refused = decision as? CallDecision.Refused
        if (refused != null) metrics.recordCallRefusal(call.service, refused.reason.code)
        val event = when (decision) {
            CallDecision.Admitted -> "call_waited"
            CallDecision.Waiting -> "call_withdrawn"
            is CallDecision.Refused -> "call_refused"
        }
        val loads = call.endpoints.map { state.loads.getOrCreate(it.id) }
        val ownCalls = loads.sumOf { it.ownWork.calls }
        log.write(
            event,
            "id" to call.exchange.caller.attemptId,
            "service" to call.service,
            "endpoint" to endpoint?.id,
            "reason" to refused?.reason?.code,
            "rank" to call.rank,
            "waited_ms" to waited.inWholeMilliseconds,
            "max_wait_ms" to call.maxWait.inWholeMilliseconds,
            "waiting" to waiting,
            "own_calls" to ownCalls,
            "peer_calls" to loads.sumOf { it.work().calls } - ownCalls,
            "peer_report_age_ms" to state.loads.oldestPeerReportAge()?.inWholeMilliseconds,
            "limits" to call.endpoints.joinToString(",") { "${it.id}:${limitOf(it)}" },
            "retry_after_ms" to refused?.retryAfter?.inWholeMilliseconds,
        )
    }

    /** Logs the limit of [endpoint] if it has changed by at least two calls since its last line. */
    fun recordLimit(endpoint: RegisteredEndpoint, capacity: EndpointCapacity) {
        val limit = capacity.limit
        val logged = loggedLimits.getOrPut(endpoint.id) { endpoint.slots }
        if (abs(limit - logged) < MIN_LOGGED_CHANGE || !loggedLimits.replace(endpoint.id, logged, limit)) return
        log.write(
            "endpoint_limit",
            "endpoint" to endpoint.id,
            "service" to endpoint.service,
            "limit" to limit,
            "had" to logged,
            "slots" to endpoint.slots,
            "mean_ms" to capacity.meanDuration?.inWholeMilliseconds,
            "measured_ms_ago" to capacity.measurementAge?.inWholeMilliseconds,
        )
    }

    private fun limitOf(endpoint: RegisteredEndpoint) = state.capacities.getOrCreate(endpoint.id, endpoint.slots).limit

    private companion object {
        // A limit swings by one call around the capacity.
        const val MIN_LOGGED_CHANGE = 2
    }
}
