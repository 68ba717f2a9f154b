package org.celerywalk.gateway.forwarding

import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.admission.AdmittedRequest
import org.celerywalk.gateway.admission.GenerationGate
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.platform.wire.ForwardedGeneration
import org.celerywalk.routing.EndpointLoad
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.EngineContext
import org.celerywalk.routing.Generation
import org.celerywalk.routing.ModelReplicaChooser
import org.celerywalk.routing.Placement
import org.celerywalk.routing.Rank
import org.celerywalk.weights.WeightHistory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decision about the placement of a generation. */
internal sealed interface PlacementDecision {
    /**
     * The generation is sent to [endpoint]; [reservation] counts its load there until it is closed.
     *
     * @property startLimit time until the generation must have started, since its weights are superseded, or null.
     */
    class Placed(
        val endpoint: RegisteredEndpoint,
        val headers: ForwardedGeneration,
        val startLimit: Duration?,
        val reservation: LoadReservation,
    ) : PlacementDecision

    /** No replica is available, or none is likely to finish the generation in time. */
    class Refused(val reason: String, val retryAfter: Duration) : PlacementDecision

    /** The request was cancelled before a replica was chosen. */
    data object Cancelled : PlacementDecision
}

/**
 * Counts a generation's work in the load of its replica: the prefill until the first token, the remaining work until
 * the reservation is closed.
 */
internal class LoadReservation(
    private val load: EndpointLoad,
    private val work: EndpointWork,
    private val rank: Int = Rank.MOST_URGENT,
    private val onFirstToken: () -> Unit = {},
) : AutoCloseable {
    private var isReleased = false
    private var prefill = EndpointWork(
        queuedPrefillTokens = work.queuedPrefillTokens,
        deferredPrefillTokens = work.deferredPrefillTokens,
    )
    private val remaining = work - prefill

    init {
        load.add(work, rank)
    }

    /**
     * Removes the prefill from the load once the replica has begun to answer. Later calls have no effect.
     *
     * @param hasToken false if the answer is an error or has broken off, which tells nothing about the replica's pace.
     */
    fun releasePrefill(hasToken: Boolean) {
        if (isReleased) return
        isReleased = true
        load.remove(prefill, rank)
        prefill = EndpointWork()
        if (hasToken) onFirstToken()
    }

    override fun close() {
        load.remove(remaining + prefill, rank)
    }
}

/** Places generations on model replicas. */
internal class GenerationPlacer(
    private val state: FleetState,
    private val chooser: ModelReplicaChooser,
    private val log: EventLog,
    private val gate: GenerationGate,
    private val onPlaced: (holder: String, CacheScope, List<PromptPart>) -> Unit,
) {
    private val maxSupersededTime = state.settings.bounds.weightsDeadline - OLD_WEIGHTS_MARGIN

    /** Chooses one of [candidates] for the request of [exchange] and counts its transfer; [place] is to follow. */
    fun choose(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        candidates: List<RegisteredEndpoint>,
    ): PlannedGeneration = planWith(exchange, admitted, service) { generation, context, weights ->
        chooser.choose(generation, candidates, context, weights, maxSupersededTime)
    }

    /** Returns what [choose] would return now, without counting a transfer. May be called by any thread. */
    fun plan(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        candidates: List<RegisteredEndpoint>,
    ): PlannedGeneration = planWith(exchange, admitted, service) { generation, context, weights ->
        chooser.plan(generation, candidates, context, weights, maxSupersededTime)
    }

    private inline fun planWith(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        choosePlacement: (Generation, EngineContext, WeightHistory) -> Placement?,
    ): PlannedGeneration {
        val generation = describeGeneration(exchange, admitted, service)
        val configuration = admitted.activeConfiguration
        val placement = configuration.configuration.services.getValue(service).engine
            ?.let { EngineContext(it, configuration.cacheStore) }
            ?.let { choosePlacement(generation, it, state.weightHistoryOf(generation.model)) }
        return PlannedGeneration(generation, placement, state.settings.prefillTokensPerMillisecond)
    }

    /**
     * Counts the load of the request of [exchange] at the replica that was chosen, or refuses the request if it is
     * unlikely to finish within [timeLeft].
     */
    fun place(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        planned: PlannedGeneration,
        timeLeft: Duration,
    ): PlacementDecision {
        val placement = planned.placement
        return when {
            placement == null -> PlacementDecision.Refused("no_endpoint", NO_ENDPOINT_RETRY_AFTER)
            !planned.isLikelyWithin(timeLeft) ->
                PlacementDecision.Refused("overloaded", (placement.expectedFirstTokenMillis / 2).milliseconds)
            else -> reserve(exchange, admitted, planned, placement)
        }
    }

    private fun describeGeneration(exchange: CallerExchange, admitted: AdmittedRequest, service: String): Generation {
        val caller = exchange.caller
        return Generation(
            model = caller.model.orEmpty(),
            parts = caller.promptParts,
            promptTokens = maxOf(caller.promptTokens, caller.promptParts.sumOf { it.tokens }),
            outputTokens = caller.outputTokens,
            cacheGroup = admitted.activeConfiguration.configuration.cacheGroupOf(admitted.account?.name),
            firstTokenTimeLeft = (admitted.route.latencyTarget - exchange.elapsed())
                .coerceAtLeast(MIN_FIRST_TOKEN_TARGET),
            rank = if (state.settings.admitsByLoad) Rank.ofPriority(admitted.rankAt(service)) else Rank.MOST_URGENT,
            // The chooser does not defer a resumed generation, nor may it defer one whose lateness the gate decides.
            isResumed = exchange.response.isCommitted || gate.isActive(admitted, service),
        )
    }

    private fun reserve(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        planned: PlannedGeneration,
        placement: Placement,
    ): PlacementDecision {
        val generation = planned.generation
        val latePriority = planned.latePriority
        val endpoint = placement.endpoint
        log.write(
            "request_placed",
            "id" to exchange.caller.attemptId,
            "endpoint" to endpoint.id,
            "weights" to placement.version,
            "part" to generation.sharedParts.lastOrNull()?.id,
            "cached" to placement.cachedTokens,
            "fetched" to placement.fetchTokens,
            "fetch_from" to placement.fetchAddress,
            "prompt" to generation.promptTokens,
            "expected_ms" to placement.expectedFirstTokenMillis.toLong(),
            "rank" to generation.rank,
            "deferred" to (placement.isDeferred || latePriority != null).takeIf { it },
            "calls" to state.loads.getOrCreate(endpoint.id).work().calls,
        )
        state.locations.recordSent(endpoint.id, placement.scope, generation.parts)
        onPlaced(endpoint.id, placement.scope, generation.sharedParts)
        val headers = ForwardedGeneration(
            cacheScope = placement.scope.value,
            expectedWeightsVersion = placement.version,
            priority = latePriority ?: replicaPriority(admitted, generation, placement),
            fetchFromAddress = placement.fetchAddress,
            saveToAddress = saveToAddress(admitted, generation, placement.scope),
        )
        return PlacementDecision.Placed(
            endpoint,
            headers,
            startLimit(generation.model, placement.version),
            observe(placement, generation.rank, isLate = placement.isDeferred || latePriority != null),
        )
    }

    private fun startLimit(model: String, version: Int): Duration? =
        state.weightHistoryOf(model).timeSinceSuperseded(version)?.let { supersededTime ->
            (state.settings.bounds.weightsDeadline - START_MARGIN - supersededTime).coerceAtLeast(Duration.ZERO)
        }

    private fun replicaPriority(admitted: AdmittedRequest, generation: Generation, placement: Placement): Int = when {
        state.settings.admitsByLoad -> Rank.replicaPriority(generation.rank, placement.isDeferred)
        placement.isDeferred -> AdmittedRequest.LOWEST_PRIORITY
        else -> admitted.priority
    }

    // Compares the time to first token with the expected one, unless the generation yields to others for long.
    private fun observe(placement: Placement, rank: Int, isLate: Boolean): LoadReservation {
        val load = state.loads.getOrCreate(placement.endpoint.id)
        val work = if (isLate && !placement.isDeferred) placement.work.asDeferred() else placement.work
        val placedAt = state.timeSource.markNow()
        return LoadReservation(load, work, rank) {
            if (!isLate && state.settings.admitsByLoad) {
                load.firstTokenPace.record(placedAt.elapsedNow(), placement.unscaledFirstTokenMillis.milliseconds)
            }
        }
    }

    // Returns the cache store's address if enough shared tokens are not saved there yet. The last part belongs to this
    // request or its session and is not saved, since the store's memory is for parts that many requests share.
    private fun saveToAddress(admitted: AdmittedRequest, generation: Generation, scope: CacheScope): String? {
        val store = admitted.activeConfiguration.cacheStore ?: return null
        val sharedParts = generation.sharedParts
        val savedTokens = state.locations.prefixTokens(store.address, scope, sharedParts)
        return store.address.takeIf { sharedParts.sumOf { it.tokens } - savedTokens >= MIN_NEW_TOKENS_TO_SAVE }
            ?.also { state.locations.recordSent(it, scope, sharedParts) }
    }

    private companion object {
        const val MIN_NEW_TOKENS_TO_SAVE = 512
        val MIN_FIRST_TOKEN_TARGET = 50.milliseconds

        val NO_ENDPOINT_RETRY_AFTER = 300.milliseconds

        // Covers the time that a request may wait in a replica's queue before it begins.
        val OLD_WEIGHTS_MARGIN = 2500.milliseconds

        // Covers the way of the cancellation to the replica and the age of the announcement when it was read.
        val START_MARGIN = 500.milliseconds
    }
}
