package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.admission.AdmittedRequest
import org.celerywalk.gateway.admission.GateDecision
import org.celerywalk.gateway.admission.Passage
import org.celerywalk.gateway.callers.CallerExchange
import kotlin.time.Duration

/** Places the generation of [exchange] on replicas of [service], the first time through the gate. */
internal class GatedPlacer(
    private val exchange: CallerExchange,
    private val admitted: AdmittedRequest,
    private val service: String,
    private val context: ForwardingContext,
    private val timeLeft: () -> Duration,
) {
    private val generations = context.choosers.generations
    private val candidates = CandidateSelector(context.state, context.random)
    private var passage: Passage? = null

    /**
     * Places the generation on one of [replicas]. May block if it [isFirstSend]: a generation that was sent before has
     * passed the gate, and its caller must not wait for it again.
     */
    fun place(replicas: List<RegisteredEndpoint>, isFirstSend: Boolean): PlacementDecision {
        if (!isFirstSend || !context.gate.isActive(admitted, service)) return placeOn(choose(replicas))
        val planned = plan(replicas)
        val estimateRoom = { plan(selectUnsent()).expectedRoom }
        val decision = context.gate.enter(exchange, admitted, service, planned.expectedRoom, estimateRoom)
        return when (decision) {
            is GateDecision.Admitted -> {
                passage = decision.passage
                // The plan is outdated after a wait, and it has not counted a transfer.
                val isUsable = !decision.hasWaited && planned.placement?.fetchAddress == null
                val current = if (isUsable) planned else choose(selectUnsent())
                placeOn(current.withLatePriority(decision.latePriority))
            }
            is GateDecision.Refused -> PlacementDecision.Refused(decision.reason, decision.retryAfter)
            GateDecision.Cancelled -> PlacementDecision.Cancelled
        }
    }

    /** Returns true if one of [replicas] would now get the generation. May be called by any thread. */
    fun canPlace(replicas: List<RegisteredEndpoint>): Boolean = plan(replicas).isLikelyWithin(timeLeft())

    /** Records that the answer has begun. */
    fun recordAnswer() {
        passage?.recordAnswer(exchange.elapsed(), admitted.route.latencyTarget)
    }

    /** Records that no replica has executed the generation. */
    fun withdraw() {
        passage?.withdraw()
    }

    private fun placeOn(planned: PlannedGeneration) = generations.place(exchange, admitted, planned, timeLeft())

    private fun choose(replicas: List<RegisteredEndpoint>) = generations.choose(exchange, admitted, service, replicas)

    private fun plan(replicas: List<RegisteredEndpoint>) = generations.plan(exchange, admitted, service, replicas)

    private fun selectUnsent() = candidates.select(service, emptyList(), mayRepeat = false).endpoints
}
