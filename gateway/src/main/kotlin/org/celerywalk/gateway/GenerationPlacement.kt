package org.celerywalk.gateway

import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.ForwardedGeneration
import org.celerywalk.routing.EndpointLoad
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.EngineContext
import org.celerywalk.routing.Generation
import org.celerywalk.routing.ModelReplicaChooser
import org.celerywalk.routing.Placement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Says where a generation goes, or that it goes nowhere. */
internal sealed interface GenerationChoice {
    /** The generation goes to [endpoint]; [tracked] holds its load there until it is closed. */
    class Placed(val endpoint: RegisteredEndpoint, val forwarded: ForwardedGeneration, val tracked: TrackedWork) :
        GenerationChoice

    class Refused(val reason: String, val retryAfter: Duration) : GenerationChoice
}

/** Holds a generation's work at a replica: the unread prompt until the first token, the rest until the end. */
internal class TrackedWork(private val load: EndpointLoad, private val work: EndpointWork) : AutoCloseable {
    private var unread = EndpointWork(queuedPrefillTokens = work.queuedPrefillTokens, deferredPrefillTokens = work.deferredPrefillTokens)
    private val running = work - unread

    init {
        load.add(work)
    }

    /** Records that the replica has read the prompt. */
    fun answering() {
        load.remove(unread)
        unread = EndpointWork()
    }

    override fun close() {
        load.remove(running + unread)
    }
}

/** Places generations on model replicas. */
internal class GenerationPlacement(
    private val state: FleetState,
    private val chooser: ModelReplicaChooser,
    private val log: EventLog,
    private val onPlaced: (holder: String, CacheScope, List<PromptPart>) -> Unit,
) {
    /** Chooses among [candidates] for the request of [exchange], which has [timeLeft]. */
    fun place(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        service: String,
        candidates: List<RegisteredEndpoint>,
        timeLeft: Duration,
    ): GenerationChoice {
        val engine = admitted.activeConfiguration.configuration.services.getValue(service).engine
        val generation = generation(exchange, admitted)
        val placement = engine?.let {
            val context = EngineContext(it, admitted.activeConfiguration.cacheStore)
            val oldAllowedFor = state.settings.bounds.weightsDeadline - OLD_MARGIN
            chooser.choose(generation, candidates, context, state.weightHistoryOf(generation.model), oldAllowedFor)
        }
        val left = timeLeft.toDouble(DurationUnit.MILLISECONDS)
        return when {
            placement == null -> GenerationChoice.Refused("no_endpoint", RETRY_SOON)
            placement.expectedFirstTokenMillis > left * USABLE_TIME ->
                GenerationChoice.Refused("overloaded", (placement.expectedFirstTokenMillis / 2).milliseconds)
            else -> placed(exchange, admitted, generation, placement)
        }
    }

    private fun generation(exchange: CallerExchange, admitted: AdmittedRequest): Generation {
        val caller = exchange.caller
        return Generation(
            model = caller.model.orEmpty(),
            parts = caller.parts,
            promptTokens = maxOf(caller.promptTokens, caller.parts.sumOf { it.tokens }),
            outputTokens = caller.expectedOutputTokens ?: caller.maxOutputTokens,
            isolatedAccount = admitted.account?.takeIf { it.isIsolated }?.name,
            firstTokenTimeLeft = (admitted.route.latencyTarget - exchange.elapsed()).coerceAtLeast(SHORTEST_TARGET),
            isResumed = exchange.answer.committed,
        )
    }

    private fun placed(
        exchange: CallerExchange,
        admitted: AdmittedRequest,
        generation: Generation,
        placement: Placement,
    ): GenerationChoice {
        val endpoint = placement.endpoint
        log.write(
            "request_placed",
            "id" to exchange.caller.attemptId,
            "endpoint" to endpoint.id,
            "weights" to placement.version,
            "part" to generation.sharedParts.lastOrNull()?.id,
            "cached" to placement.cachedTokens,
            "fetched" to placement.fetchTokens,
            "fetch_from" to placement.fetchFrom,
            "prompt" to generation.promptTokens,
            "expected_ms" to placement.expectedFirstTokenMillis.toLong(),
            "deferred" to placement.isDeferred.takeIf { it },
            "calls" to state.loads.of(endpoint.id).work().calls,
        )
        state.locations.sent(endpoint.id, placement.scope, generation.parts)
        onPlaced(endpoint.id, placement.scope, generation.sharedParts)
        val forwarded = ForwardedGeneration(
            cacheScope = placement.scope.text,
            expectedVersion = placement.version,
            priority = if (placement.isDeferred) LEAST_URGENT else priority(admitted),
            fetchFrom = placement.fetchFrom,
            saveTo = saveTo(admitted, generation, placement.scope),
        )
        return GenerationChoice.Placed(endpoint, forwarded, TrackedWork(state.loads.of(endpoint.id), placement.work))
    }

    private fun priority(admitted: AdmittedRequest) =
        (admitted.account?.priority ?: admitted.route.priority).coerceIn(0, LEAST_URGENT)

    // The last part belongs to this request or its session; the store's memory is for those that many share.
    private fun saveTo(admitted: AdmittedRequest, generation: Generation, scope: CacheScope): String? {
        val store = admitted.activeConfiguration.cacheStore ?: return null
        val shared = generation.sharedParts
        val saved = state.locations.prefixTokens(store.address, scope, shared)
        return store.address.takeIf { shared.sumOf { it.tokens } - saved >= MIN_SAVED_TOKENS }
            ?.also { state.locations.sent(it, scope, shared) }
    }

    private companion object {
        const val LEAST_URGENT = 9
        const val MIN_SAVED_TOKENS = 512
        val SHORTEST_TARGET = 50.milliseconds

        // The rest of the time is for the answer's tokens.
        const val USABLE_TIME = 0.8
        val RETRY_SOON = 300.milliseconds

        // A request may wait in a replica's queue before it begins.
        val OLD_MARGIN = 2500.milliseconds
    }
}
