package org.celerywalk.routing

import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PartLocations
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition
import kotlin.math.max

/**
 * Describes a generation to be placed.
 *
 * @property isolatedAccount account that shares no cache, or null.
 * @property outputTokens upper bound of the answer's tokens.
 */
public data class Generation(
    val model: String,
    val parts: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val isolatedAccount: String?,
)

/**
 * Says where a generation goes.
 *
 * @property scope cache scope for the replica's weights.
 * @property version weights that the replica is expected to have.
 * @property fetchFrom address of a replica or store that keeps more of the prompt, or null.
 * @property expectedMillis expected time to the first token.
 * @property work what the generation adds to the replica's load.
 */
public data class Placement(
    val endpoint: RegisteredEndpoint,
    val scope: CacheScope,
    val version: Int,
    val cachedTokens: Int,
    val fetchFrom: String?,
    val fetchTokens: Int,
    val expectedMillis: Double,
    val work: Work,
)

/** Chooses a model replica by its expected time to the first token. */
public class ModelReplicaChooser(
    private val loads: FleetLoads,
    private val locations: PartLocations,
    private val dataCentre: String,
    private val prefillTokensPerMilli: Double,
) {
    /**
     * Places [generation] on one of [replicas], or returns null if none is usable.
     *
     * @param named newest weights version; replicas with older ones are avoided.
     * @param oldAllowed false once older weights must not begin any more work.
     */
    public fun choose(
        generation: Generation,
        replicas: List<RegisteredEndpoint>,
        service: EngineContext,
        named: Int,
        oldAllowed: Boolean,
    ): Placement? {
        val usable = replicas.filter { oldAllowed || version(it, generation.model) >= named }
        val healthy = usable.filterNot { loads.of(it.id).health.ejected }.ifEmpty { usable }
        val quiet = healthy.filterNot { loads.of(it.id).changesWeights }.ifEmpty { healthy }
        return quiet.map { place(generation, it, replicas, service, named) }.minByOrNull { it.score(service) }?.placement
    }

    private class Candidate(val placement: Placement, private val penaltyMillis: Double) {
        // Memory that a copy of parts takes displaces others, so a replica that keeps the parts is worth a short wait.
        fun score(service: EngineContext): Double = placement.expectedMillis + penaltyMillis +
            COPY_WEIGHT * service.transferMillis(placement.fetchTokens, false)
    }

    private fun version(replica: RegisteredEndpoint, model: String): Int =
        loads.of(replica.id).version(model) ?: replica.models[model] ?: 0

    private fun place(
        generation: Generation,
        replica: RegisteredEndpoint,
        replicas: List<RegisteredEndpoint>,
        service: EngineContext,
        named: Int,
    ): Candidate {
        val version = version(replica, generation.model)
        val scope = CacheScope.of(generation.model, version, generation.isolatedAccount)
        val cached = locations.prefixTokens(replica.id, scope, generation.parts)
        val source = bestSource(generation, replica, replicas, service, scope, cached)
        val fetched = if (source == null) 0 else source.tokens - cached
        val unread = max(0, generation.promptTokens - cached - fetched)
        val load = loads.of(replica.id).work()
        val need = (generation.promptTokens + generation.outputTokens).toLong()
        val expected = (load.unreadTokens + unread) / prefillTokensPerMilli +
            (source?.millis ?: 0.0) +
            load.calls * MILLIS_PER_CALL +
            max(0L, load.cacheTokens + need - service.engine.cacheTokens * USABLE_CACHE / 100) / DRAIN_TOKENS_PER_MILLI +
            max(0, load.calls + 1 - service.engine.slots) * MILLIS_PER_SLOT
        val placement = Placement(
            replica, scope, version, cached, source?.address, fetched, expected,
            Work(1, unread.toLong(), need),
        )
        val old = if (version < named) OLD_WEIGHTS_MILLIS else 0.0
        val remote = if (replica.dataCentre == dataCentre) 0.0 else REMOTE_MILLIS
        return Candidate(placement, old + remote)
    }

    private class Source(val address: String, val tokens: Int, val millis: Double)

    private fun bestSource(
        generation: Generation,
        target: RegisteredEndpoint,
        replicas: List<RegisteredEndpoint>,
        service: EngineContext,
        scope: CacheScope,
        cached: Int,
    ): Source? {
        val others = replicas.filter { it.id != target.id && version(it, generation.model) > 0 }.map {
            source(it.id, it.address, it.dataCentre != target.dataCentre, generation, service, scope, cached)
        }
        val store = service.store?.let {
            source(it.address, it.address, it.dataCentre != target.dataCentre, generation, service, scope, cached)
        }
        // Less than a block or two is read again sooner than it is fetched.
        return (others + listOfNotNull(store))
            .filter { it.tokens - cached >= MIN_FETCH_TOKENS }
            .maxByOrNull { it.tokens - it.millis * prefillTokensPerMilli }
    }

    private fun source(
        holder: String,
        address: String,
        remote: Boolean,
        generation: Generation,
        service: EngineContext,
        scope: CacheScope,
        cached: Int,
    ): Source {
        val tokens = locations.prefixTokens(holder, scope, generation.parts)
        return Source(address, tokens, service.transferMillis(max(0, tokens - cached), remote))
    }

    private companion object {
        // Decode steps grow by this much with each running request.
        const val MILLIS_PER_CALL = 0.3

        // Running requests free about this many tokens of memory in a millisecond.
        const val DRAIN_TOKENS_PER_MILLI = 80.0
        const val USABLE_CACHE = 90

        // A request that finds no slot waits for one of those that run.
        const val MILLIS_PER_SLOT = 15.0

        // An answer on older weights loses part of its value; a wait of this length is better.
        const val OLD_WEIGHTS_MILLIS = 250.0
        const val REMOTE_MILLIS = 2.0
        const val MIN_FETCH_TOKENS = 64
        const val COPY_WEIGHT = 1.0
    }
}

/** Gives the properties of the service whose replicas are chosen from. */
public class EngineContext(public val engine: EngineDefinition, public val store: CacheStoreDefinition?) {
    /** Time to move [tokens] of KV cache, twice as long between data centres. */
    public fun transferMillis(tokens: Int, remote: Boolean): Double {
        val bits = tokens.toDouble() * engine.bytesPerToken * BITS_PER_BYTE
        val oneWay = bits / (engine.linkMegabits * BITS_PER_MEGABIT_MILLI)
        return if (remote) 2 * oneWay else oneWay
    }

    private companion object {
        const val BITS_PER_BYTE = 8
        const val BITS_PER_MEGABIT_MILLI = 1_000.0
    }
}
