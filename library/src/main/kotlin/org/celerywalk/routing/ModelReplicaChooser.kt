package org.celerywalk.routing

import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PartLocations
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.weights.WeightHistory
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Chooses a model replica by its expected time to first token and by the cost of the choice: a prefill of shared parts
 * that another replica has cached, and an answer on superseded weights.
 *
 * @param dataCentre data centre of this process.
 * @param prefillTokensPerMilli prefill throughput that is assumed for each replica, in tokens per millisecond.
 * @param ranksWork true if generations have different ranks, so that less urgent work may be interrupted.
 */
public class ModelReplicaChooser(
    private val timeSource: TimeSource.WithComparableMarks,
    private val loads: FleetLoads,
    private val locations: PartLocations,
    private val dataCentre: String,
    private val prefillTokensPerMilli: Double,
    private val ranksWork: Boolean = true,
) {
    private val createdAt = timeSource.markNow()

    // Time at which the transfers that this process has requested from an address are expected to end.
    private val linkFreeAt = ConcurrentHashMap<String, ComparableTimeMark>()

    /**
     * Places [generation] on one of [replicas], or returns null if none is eligible. Counts the transfer that the
     * placement requests.
     *
     * A replica is eligible if its weights are current or were superseded less than [maxSupersededTime] ago.
     */
    public fun choose(
        generation: Generation,
        replicas: List<RegisteredEndpoint>,
        context: EngineContext,
        weights: WeightHistory,
        maxSupersededTime: Duration,
    ): Placement? =
        plan(generation, replicas, context, weights, maxSupersededTime)?.also { reserveLink(it, context) }

    /** Returns the placement that [choose] would return now, without counting its transfer. */
    public fun plan(
        generation: Generation,
        replicas: List<RegisteredEndpoint>,
        context: EngineContext,
        weights: WeightHistory,
        maxSupersededTime: Duration,
    ): Placement? {
        val versions = replicas.associate { it.id to version(it, generation.model) }
        val supersededTimes = versions.values.distinct().associateWith(weights::timeSinceSuperseded)
        val usableReplicas = replicas.filter { replica ->
            val supersededTime = supersededTimes[versions.getValue(replica.id)]
            supersededTime == null || supersededTime < maxSupersededTime
        }
        val healthyReplicas =
            usableReplicas.filterNot { loads.getOrCreate(it.id).health.isEjected }.ifEmpty { usableReplicas }
        val candidates =
            healthyReplicas.filterNot { loads.getOrCreate(it.id).isChangingWeights }.ifEmpty { healthyReplicas }
        val homeId = homeReplicaId(generation, candidates)
        val bestPlacement = candidates.groupBy { versions.getValue(it.id) }.flatMap { (version, sameVersionReplicas) ->
            val cache = FleetCache(generation, version, replicas, context)
            val scorer = PlacementScorer(generation, context, cache, supersededTimes[version], homeId)
            sameVersionReplicas.map(scorer::scorePlacement)
        }.minByOrNull { it.score }
        return bestPlacement?.let { deferIfLate(it, generation) }
    }

    /**
     * Defers a generation that would miss its target for the time to first token: if every generation kept its turn
     * under overload, all would miss the target. A replica prefills deferred generations when it has no other prefill.
     */
    private fun deferIfLate(candidate: ScoredPlacement, generation: Generation): Placement {
        val placement = candidate.placement
        val meetsTarget =
            placement.expectedFirstTokenMillis.milliseconds <= generation.firstTokenTimeLeft * LATE_BUDGET_SHARE
        // Callers give up on a stream after a gap of a few seconds, so a resumed stream is not deferred.
        if (meetsTarget || generation.isResumed) return placement
        return placement.copy(
            expectedFirstTokenMillis = candidate.expectedMillisIfDeferred,
            work = placement.work.asDeferred(),
            isDeferred = true,
        )
    }

    private fun version(replica: RegisteredEndpoint, model: String): Int =
        loads.getOrCreate(replica.id).version(model) ?: replica.models[model] ?: 0

    private fun reserveLink(placement: Placement, context: EngineContext) {
        val source = placement.fetchAddress ?: return
        val now = timeSource.markNow()
        val startTime = linkFreeAt[source]?.let { maxOf(it, now) } ?: now
        linkFreeAt[source] = startTime + context.transferMillis(placement.fetchTokens, isRemote = false).milliseconds
    }

    // Rendezvous hashing lets every process send shared parts that no replica has cached yet to the same replica.
    private fun homeReplicaId(generation: Generation, replicas: List<RegisteredEndpoint>): String? {
        val sharedParts = generation.sharedParts
        if (sharedParts.sumOf { it.tokens } < MIN_HOME_PREFIX_TOKENS) return null
        return replicas.maxByOrNull { (sharedParts.last().id + it.id).hashCode() * HASH_MULTIPLIER }?.id
    }

    private class ScoredPlacement(val placement: Placement, val score: Double, val expectedMillisIfDeferred: Double)

    /** Source that a replica can fetch a prefix from; [linkWaitMillis] is the time until its link is free. */
    private class FetchSource(
        val holder: String,
        val address: String,
        val dataCentre: String,
        val tokens: Int,
        val linkWaitMillis: Double,
    )

    private class Fetch(val address: String, val tokens: Int, val millis: Double)

    /**
     * What [replicas] and the cache store hold of the prompt of [generation] at one [version] of the weights.
     *
     * Looked up once for all candidates of a placement, since each lookup goes through all replicas.
     */
    private inner class FleetCache(
        generation: Generation,
        val version: Int,
        replicas: List<RegisteredEndpoint>,
        private val context: EngineContext,
    ) {
        val scope = CacheScope.of(generation.model, version, generation.cacheGroup)
        private val sharedTokens = generation.sharedParts.sumOf { it.tokens }
        private val now = timeSource.markNow()
        private val prefixes = locations.cachedPrefixes(
            replicas.map { it.id } + listOfNotNull(context.store?.address),
            scope,
            generation.parts,
            PREFILL_DELAY,
        )

        /** Largest number of shared tokens that any replica holds. */
        val heldTokens = replicas.maxOf { prefixes.getValue(it.id).sharedTokens }
        private val sources = (replicas.map { source(it.id, it.address, it.dataCentre) } + listOfNotNull(storeSource()))
            .filter { it.tokens >= MIN_FETCH_TOKENS }

        fun cachedTokens(replica: RegisteredEndpoint): Int = prefixes.getValue(replica.id).tokens

        /** Returns the fetch that saves [target] most, or null if none does. */
        fun bestFetch(target: RegisteredEndpoint): Fetch? {
            val cachedTokens = cachedTokens(target)
            return sources.filter { it.holder != target.id && it.tokens - cachedTokens >= MIN_FETCH_TOKENS }
                .map { fetch(it, target, cachedTokens) }
                .maxByOrNull { it.tokens - it.millis * prefillTokensPerMilli }
        }

        private fun fetch(source: FetchSource, target: RegisteredEndpoint, cachedTokens: Int): Fetch {
            val isRemote = source.dataCentre != target.dataCentre
            val transferMillis = context.transferMillis(source.tokens - cachedTokens, isRemote)
            return Fetch(source.address, source.tokens, transferMillis + source.linkWaitMillis)
        }

        private fun storeSource(): FetchSource? = context.store?.let { store ->
            val source = source(store.address, store.address, store.dataCentre)
            if (mayHoldSharedParts(store.address)) {
                FetchSource(store.address, store.address, store.dataCentre, sharedTokens, source.linkWaitMillis)
            } else {
                source
            }
        }

        private fun source(holder: String, address: String, dataCentre: String): FetchSource {
            val linkWaitTime = linkFreeAt[address]?.let { it - now }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO
            val fetchableTokens = prefixes.getValue(holder).fetchableTokens
            return FetchSource(
                holder,
                address,
                dataCentre,
                fetchableTokens,
                linkWaitTime.toDouble(DurationUnit.MILLISECONDS),
            )
        }

        // Shared parts are saved to the cache store, and a process that has just started does not know which of them
        // the store still holds. A fetch that finds nothing costs far less than a repeated prefill.
        private fun mayHoldSharedParts(storeAddress: String) =
            now - createdAt < STORE_CONTENT_UNKNOWN_TIME && !locations.hasReadEvents(storeAddress)
    }

    /** Scores the replicas with one version of the weights for one generation; the lowest score is best. */
    private inner class PlacementScorer(
        private val generation: Generation,
        private val context: EngineContext,
        private val cache: FleetCache,
        private val supersededTime: Duration?,
        private val homeId: String?,
    ) {
        private val sharedTokens = generation.sharedParts.sumOf { it.tokens }

        fun scorePlacement(replica: RegisteredEndpoint): ScoredPlacement {
            val cachedPrefixTokens = cache.cachedTokens(replica)
            val fetch = cache.bestFetch(replica)
            val fetchedTokens = if (fetch == null) 0 else fetch.tokens - cachedPrefixTokens
            val prefillTokens = max(0, generation.promptTokens - cachedPrefixTokens - fetchedTokens)
            val load = loads.getOrCreate(replica.id)
            val replicaWork = load.workFor(generation.rank)
            val ownMillis = prefillTokens / prefillTokensPerMilli + (fetch?.millis ?: 0.0) +
                replicaWork.total.calls * DECODE_MILLIS_PER_CALL
            val slowdown = load.firstTokenPace.slowdown
            val unscaledMillis = ownMillis + waitMillis(replicaWork.ahead) + chunkMillis(replicaWork)
            val expectedFirstTokenMillis = unscaledMillis * slowdown
            val work =
                EndpointWork(1, prefillTokens.toLong(), (generation.promptTokens + generation.outputTokens).toLong())
            val placement = Placement(
                replica,
                cache.scope,
                cache.version,
                cachedPrefixTokens,
                fetch?.address,
                fetchedTokens,
                expectedFirstTokenMillis,
                work,
                unscaledMillis,
            )
            return ScoredPlacement(
                placement,
                expectedFirstTokenMillis + penaltyMillis(placement) + preemptionMillis(replicaWork),
                (ownMillis + waitMillis(replicaWork.aheadIfDeferred)) * slowdown,
            )
        }

        // Time until the prefill of [workAhead] is done and it leaves enough KV cache and a free slot.
        private fun waitMillis(workAhead: EndpointWork): Double {
            val neededCacheTokens = generation.promptTokens + generation.outputTokens
            val missingCacheTokens =
                max(0.0, workAhead.cacheTokens + neededCacheTokens - context.engine.cacheTokens * USABLE_CACHE_SHARE)
            val missingSlots = max(0, workAhead.calls + 1 - context.engine.slots)
            return (workAhead.queuedPrefillTokens + workAhead.deferredPrefillTokens) / prefillTokensPerMilli +
                missingCacheTokens / CACHE_TOKENS_FREED_PER_MILLI + missingSlots * SLOT_WAIT_MILLIS
        }

        // A replica that reads a less urgent prompt finishes the chunk in progress first.
        private fun chunkMillis(work: WorkAhead): Double {
            if (!ranksWork) return 0.0
            val othersTokens = work.total.queuedPrefillTokens + work.total.deferredPrefillTokens -
                work.ahead.queuedPrefillTokens
            return minOf(othersTokens, CHUNK_IN_PROGRESS_TOKENS) / prefillTokensPerMilli
        }

        // Prompts that lose their KV cache to this generation have to be read again.
        private fun preemptionMillis(work: WorkAhead): Double {
            if (!ranksWork) return 0.0
            val neededTokens = (generation.promptTokens + generation.outputTokens).toDouble()
            val usableTokens = context.engine.cacheTokens * USABLE_CACHE_SHARE
            val preemptibleTokens = (work.total.cacheTokens - work.ahead.cacheTokens).toDouble()
            val missingTokens = work.total.cacheTokens + neededTokens - usableTokens
            return missingTokens.coerceIn(0.0, minOf(neededTokens, preemptibleTokens)) / prefillTokensPerMilli
        }

        private fun penaltyMillis(placement: Placement): Double {
            val replica = placement.endpoint
            val supersededPenaltyMillis =
                if (supersededTime != null && supersededTime > SUPERSEDED_GRACE) SUPERSEDED_PENALTY_MILLIS else 0.0
            val remotePenaltyMillis = if (replica.dataCentre == dataCentre) 0.0 else REMOTE_PENALTY_MILLIS
            val recomputedTokens = max(0, cache.heldTokens - placement.cachedTokens - placement.fetchTokens)
            val recomputePenaltyMillis = recomputedTokens * RECOMPUTE_PENALTY_MILLIS_PER_TOKEN
            val nonHomePenaltyMillis =
                if (homeId != null && replica.id != homeId && cache.heldTokens < sharedTokens) NON_HOME_MILLIS else 0.0
            // A fetched copy evicts other parts from the replica's KV cache.
            val copyMillis = context.transferMillis(placement.fetchTokens, isRemote = false)
            return supersededPenaltyMillis + remotePenaltyMillis + recomputePenaltyMillis + nonHomePenaltyMillis +
                copyMillis + latePenaltyMillis(placement.expectedFirstTokenMillis)
        }

        // The expected time is an estimate, so a miss becomes likely before the estimate reaches the target.
        private fun latePenaltyMillis(expectedFirstTokenMillis: Double): Double {
            val budgetShare = expectedFirstTokenMillis.milliseconds / generation.firstTokenTimeLeft
            return LATE_PENALTY_MILLIS *
                ((budgetShare - ON_TIME_BUDGET_SHARE) / (LATE_BUDGET_SHARE - ON_TIME_BUDGET_SHARE)).coerceIn(0.0, 1.0)
        }
    }

    private companion object {
        // Half a chunk of 2,048 tokens, which is what remains of one on average.
        const val CHUNK_IN_PROGRESS_TOKENS = 1_024L

        // Each running request makes a decode step longer by this time.
        const val DECODE_MILLIS_PER_CALL = 0.3

        // Running requests together free about this many KV cache tokens per millisecond.
        const val CACHE_TOKENS_FREED_PER_MILLI = 80.0

        // The remaining share holds cached parts that are worth keeping.
        const val USABLE_CACHE_SHARE = 0.9

        // A request without a free slot waits until a running request ends.
        const val SLOT_WAIT_MILLIS = 15.0

        // An answer on superseded weights loses a fifth of its value after the grace time, a late answer most of it.
        const val SUPERSEDED_PENALTY_MILLIS = 400.0
        const val LATE_PENALTY_MILLIS = 900.0

        // Shares of the time left to the first token: no miss is expected below the first, a miss is certain above the
        // second.
        const val ON_TIME_BUDGET_SHARE = 0.6
        const val LATE_BUDGET_SHARE = 1.1
        val SUPERSEDED_GRACE = 1.2.seconds
        const val REMOTE_PENALTY_MILLIS = 2.0

        // A prefill of fewer tokens, a few KV cache blocks, is faster than a fetch.
        const val MIN_FETCH_TOKENS = 64

        // The cache events of a store that answers are read well before this time; a request to a store that is down
        // takes hundreds of milliseconds.
        val STORE_CONTENT_UNKNOWN_TIME = 2.seconds

        // A repeated prefill of shared parts costs more than a late answer: a prefix of 6,000 tokens counts as 600 ms.
        const val RECOMPUTE_PENALTY_MILLIS_PER_TOKEN = 0.1
        const val MIN_HOME_PREFIX_TOKENS = 512
        const val NON_HOME_MILLIS = 40.0
        const val HASH_MULTIPLIER = -0x61c88647

        // The prefill of parts that were sent to a replica takes about this time; they can be fetched afterwards.
        val PREFILL_DELAY = 300.milliseconds
    }
}
