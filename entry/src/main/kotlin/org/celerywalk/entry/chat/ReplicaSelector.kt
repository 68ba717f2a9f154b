package org.celerywalk.entry.chat

import org.celerywalk.cache.PieceNames
import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.entry.agents.AccountQueueKey
import org.celerywalk.entry.agents.AgentClient
import org.celerywalk.entry.agents.EndpointRegistry
import org.celerywalk.routing.EndpointChooser
import org.celerywalk.routing.RoutingRequest
import org.celerywalk.stream.StreamEvent

/** Selects replicas for the attempts of generations. */
internal class ReplicaSelector(
    private val endpoints: EndpointRegistry,
    private val endpointChooser: EndpointChooser,
) {
    /**
     * Selects the best replica that is not in [triedReplicas] and acquires a wait slot at its agent; returns null if
     * there is none with a free slot. Replicas whose queue for the client account was full
     * come last; a request that is smaller than the refused one may still fit.
     *
     * @param weights weights of the answer so far, or null if it has no tokens yet. Then the configured weights are
     * preferred, and while no replica has loaded them, any other loaded weights are used.
     * @param triedReplicas endpoint and replica names.
     * @param redirect endpoint that an agent named as better placed, or null.
     */
    fun select(
        generation: Generation,
        weights: String?,
        triedReplicas: Set<Pair<String, String>>,
        redirect: String?,
    ): SelectedReplica? {
        val candidates = endpoints.activeReplicas()
            .filter { it.model == generation.model.name && it.endpoint to it.replica !in triedReplicas }
        val loadedWeights = candidates.map { it.weights }.filter { it.isNotEmpty() }.sorted()
        val usableWeights = weights?.let(::listOf) ?: (listOf(generation.model.weights) + loadedWeights).distinct()
        return usableWeights.firstNotNullOfOrNull { version ->
            val routingRequest = buildRoutingRequest(generation, version)
            val redirectTargets = candidates.filter { it.endpoint == redirect && it.weights == version }
            val ordered = redirectTargets + chooseReplicas(routingRequest, candidates)
            ordered.firstNotNullOfOrNull { acquireSlot(routingRequest, it) }
        }
    }

    /** Records a refusal of [target]; a full queue is full for all requests of its client account. */
    fun recordRefusal(target: SelectedReplica, refusal: StreamEvent.Refused) {
        val duration = refusal.retryAfter?.takeIf { refusal.code == StreamEvent.Refused.QUEUE_FULL } ?: return
        val clientAccount = target.routingRequest.clientAccount
        endpoints.notices.recordFull(
            AccountQueueKey(target.agentIncarnation, target.replica.replica, clientAccount),
            duration,
        )
    }

    /** Records that the agent of [target] has stated that it stops; the attempts that it runs go on. */
    fun recordStopping(target: SelectedReplica) =
        endpoints.notices.recordStopping(target.replica.endpoint, target.agentIncarnation)

    fun recordSent(target: SelectedReplica) = endpointChooser.recordSent(target.routingRequest, target.replica)

    fun recordAnswer(target: SelectedReplica, cachedTokens: Int) =
        endpointChooser.recordAnswer(target.routingRequest, target.replica, cachedTokens)

    fun recordEnd(target: SelectedReplica) = endpointChooser.recordEnd(target.routingRequest, target.replica)

    // The chooser returns the few best replicas only, which may all have a full queue.
    private fun chooseReplicas(request: RoutingRequest, candidates: List<ReplicaSummary>): List<ReplicaSummary> {
        val (full, free) = candidates.partition { isFull(request, it) }
        return endpointChooser.choose(request, free) + endpointChooser.choose(request, full)
    }

    private fun isFull(request: RoutingRequest, replica: ReplicaSummary): Boolean {
        val incarnation = endpoints.client(replica.endpoint)?.incarnation ?: return false
        return endpoints.notices.isFull(AccountQueueKey(incarnation, replica.replica, request.clientAccount))
    }

    private fun acquireSlot(request: RoutingRequest, replica: ReplicaSummary): SelectedReplica? {
        val client = endpoints.client(replica.endpoint)
        val incarnation = client?.incarnation
        val hasSlot = client != null && incarnation != null && client.tryAcquireWaitSlot()
        return if (hasSlot) SelectedReplica(request, replica, checkNotNull(client), checkNotNull(incarnation)) else null
    }

    private fun buildRoutingRequest(generation: Generation, weights: String): RoutingRequest {
        val request = generation.request
        val model = generation.model
        val pieceNames = PieceNames(generation.caller.clientAccount, model.name, weights, model.pieceTokens)
        return RoutingRequest(
            requestId = generation.requestId,
            clientAccount = generation.caller.clientAccount,
            model = model.name,
            weights = weights,
            pieceNames = pieceNames.forPrompt(request.prompt),
            pieceTokens = model.pieceTokens,
            promptTokens = request.promptTokens,
            priority = generation.priority,
        )
    }
}

/** Replica selected for an attempt, which holds a wait slot of [agentClient]. */
internal class SelectedReplica(
    val routingRequest: RoutingRequest,
    val replica: ReplicaSummary,
    val agentClient: AgentClient,
    val agentIncarnation: String,
)
