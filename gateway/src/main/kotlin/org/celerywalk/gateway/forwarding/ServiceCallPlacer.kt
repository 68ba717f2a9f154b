package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.admission.AdmittedRequest
import org.celerywalk.gateway.callers.CallerExchange
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Places the attempts of one request at endpoints of a service whose requests are not generations.
 *
 * @param hasEngine true if the service has an engine, whose endpoints have no concurrency limit.
 */
internal class ServiceCallPlacer(
    private val exchange: CallerExchange,
    private val admitted: AdmittedRequest,
    private val service: String,
    private val hasEngine: Boolean,
    private val context: ForwardingContext,
) {
    private val route = admitted.route
    private val chooser = context.choosers.services
    private val gate = context.choosers.calls
    private val loads = context.state.loads
    private var waited = Duration.ZERO

    /** Takes a place at an endpoint of [candidates] for an attempt that has [timeLeft]. May block the thread. */
    fun place(candidates: List<RegisteredEndpoint>, timeLeft: Duration): CallGateDecision =
        if (isGated(candidates)) enterGate(candidates, timeLeft) else choose(candidates, timeLeft)

    /** Returns true if an endpoint of [candidates] could take a request that has [timeLeft] now. */
    fun canPlace(candidates: List<RegisteredEndpoint>, timeLeft: Duration): Boolean = if (isGated(candidates)) {
        gate.hasRoom(candidates)
    } else {
        chooser.choose(candidates)?.let { chooser.expectedDuration(it) <= timeLeft } ?: false
    }

    private fun isGated(candidates: List<RegisteredEndpoint>) =
        context.state.settings.admitsByLoad && !hasEngine && candidates.isNotEmpty() && candidates.all { it.slots > 0 }

    private fun enterGate(candidates: List<RegisteredEndpoint>, timeLeft: Duration): CallGateDecision {
        val rank = admitted.rankAt(service)
        val serviceTime = candidates.minOf { loads.getOrCreate(it.id).averageServiceTime }
        val target = route.latencyTarget.takeIf { it > Duration.ZERO } ?: (route.timeout / DEFAULT_TARGET_DIVISOR)
        if (serviceTime > timeLeft) return CallGateDecision.Refused("overloaded", serviceTime / 2)
        // The bound on the wait holds for all attempts of the request together.
        val maxWait = minOf(target / 2 - waited, timeLeft - serviceTime).coerceAtLeast(Duration.ZERO)
        val decision = gate.enter(GatedCall(exchange, service, rank, maxWait, candidates))
        if (decision is CallGateDecision.Admitted) waited += decision.waited
        return decision
    }

    private fun choose(candidates: List<RegisteredEndpoint>, timeLeft: Duration): CallGateDecision {
        val endpoint = chooser.choose(candidates) ?: return CallGateDecision.Refused("no_endpoint", DEFAULT_RETRY_AFTER)
        val expectedDuration = chooser.expectedDuration(endpoint)
        return if (expectedDuration > timeLeft) {
            CallGateDecision.Refused("overloaded", expectedDuration / 2)
        } else {
            val load = loads.getOrCreate(endpoint.id)
            CallGateDecision.Admitted(CallPass(endpoint, load, null, context.state.timeSource) {}, Duration.ZERO)
        }
    }

    private companion object {
        val DEFAULT_RETRY_AFTER = 300.milliseconds

        // A route without a latency target is taken to have a quarter of its timeout.
        const val DEFAULT_TARGET_DIVISOR = 4
    }
}
