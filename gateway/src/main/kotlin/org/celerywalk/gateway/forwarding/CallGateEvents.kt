package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.recordCallRefusal
import org.celerywalk.limit.CallDecision
import org.celerywalk.limit.EndpointCapacity
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.abs
import kotlin.time.Duration

/** Writes the decisions of a [ServiceCallGate], with their inputs, to log and metrics. */
internal class CallGateEvents(
    private val state: FleetState,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) {
    private class ReportedState(slots: Int) {
        val limit = AtomicInteger(slots)
        val isSlow = AtomicBoolean()
    }

    private val reportedStates = ConcurrentHashMap<String, ReportedState>()

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

    /**
     * Logs a limit of [endpoint] that has changed by at least two calls since its last line, and the moment at which
     * the endpoint becomes an outlier or none. [slowness] is its mean duration relative to its peers.
     */
    fun recordCapacity(endpoint: RegisteredEndpoint, capacity: EndpointCapacity, slowness: Double) {
        val reported = reportedStates[endpoint.id] ?: addReported(endpoint)
        val limit = capacity.limit
        val hadLimit = reported.limit.get()
        if (abs(limit - hadLimit) >= MIN_LOGGED_CHANGE && reported.limit.compareAndSet(hadLimit, limit)) {
            write("endpoint_limit", endpoint, capacity, "limit" to limit, "had" to hadLimit, "slots" to endpoint.slots)
        }
        val isSlow = slowness > 1
        if (reported.isSlow.compareAndSet(!isSlow, isSlow)) {
            val event = if (isSlow) "endpoint_slow" else "endpoint_fast"
            write(event, endpoint, capacity, "times_slower" to "%.1f".format(slowness))
        }
    }

    private fun write(
        event: String,
        endpoint: RegisteredEndpoint,
        capacity: EndpointCapacity,
        vararg fields: Pair<String, Any?>,
    ) = log.write(
        event,
        "endpoint" to endpoint.id,
        "service" to endpoint.service,
        "mean_ms" to capacity.meanDuration?.inWholeMilliseconds,
        "measured_ms_ago" to capacity.measurementAge?.inWholeMilliseconds,
        *fields,
    )

    private fun addReported(endpoint: RegisteredEndpoint): ReportedState {
        reportedStates.keys.retainAll(state.capacities.asMap().keys)
        return reportedStates.computeIfAbsent(endpoint.id) { ReportedState(endpoint.slots) }
    }

    private fun limitOf(endpoint: RegisteredEndpoint) = state.capacities.getOrCreate(endpoint.id, endpoint.slots).limit

    private companion object {
        // A limit swings by one call around the capacity.
        const val MIN_LOGGED_CHANGE = 2
    }
}
