package org.celerywalk.routing

import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PartLocations
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition
import org.celerywalk.weights.NamedHistory
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.max
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

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
    private val timeSource: TimeSource.WithComparableMarks,
    private val loads: FleetLoads,
    private val locations: PartLocations,
    private val dataCentre: String,
    private val prefillTokensPerMilli: Double,
) {
    // When the transfers that this process has asked a holder for are over.
    private val linkFreeAt = ConcurrentHashMap<String, ComparableTimeMark>()

    /**
     * Places [generation] on one of [replicas], or returns null if none is usable.
     *
     * Replicas whose weights were superseded more than [oldAllowedFor] ago are not used.
     */
    public fun choose(
        generation: Generation,
        replicas: List<RegisteredEndpoint>,
        service: EngineContext,
        weights: NamedHistory,
        oldAllowedFor: Duration,
    ): Placement? {
        val usable = replicas.filter {
            val superseded = weights.supersededFor(version(it, generation.model))
            superseded == null || superseded < oldAllowedFor
        }
        val healthy = usable.filterNot { loads.of(it.id).health.ejected }.ifEmpty { usable }
        val quiet = healthy.filterNot { loads.of(it.id).changesWeights }.ifEmpty { healthy }
        val home = home(generation, quiet)
        return quiet.map { place(generation, it, replicas, service, weights, home) }
            .minByOrNull { it.score(service) }?.placement?.also { reserveLink(it, service) }
    }

    private fun reserveLink(placement: Placement, service: EngineContext) {
        val source = placement.fetchFrom ?: return
        val start = maxOf(linkFreeAt[source] ?: timeSource.markNow(), timeSource.markNow())
        linkFreeAt[source] = start + service.transferMillis(placement.fetchTokens, remote = false).milliseconds
    }

    // Parts that nobody keeps yet go to the same replica from every process.
    private fun home(generation: Generation, replicas: List<RegisteredEndpoint>): String? {
        val shared = generation.parts.dropLast(1)
        if (shared.sumOf { it.tokens } < MIN_HOME_TOKENS) return null
        return replicas.maxByOrNull { (shared.last().id + it.id).hashCode() * HASH_SPREAD }?.id
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
        weights: NamedHistory,
        home: String?,
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
        val superseded = weights.supersededFor(version)
        val old = if (superseded != null && superseded > OLD_WEIGHTS_FREE) OLD_WEIGHTS_MILLIS else 0.0
        val remote = if (replica.dataCentre == dataCentre) 0.0 else REMOTE_MILLIS
        val shared = generation.parts.dropLast(1)
        val known = replicas.maxOf { locations.prefixTokens(it.id, scope, shared) }
        val again = max(0, known - cached - fetched) * MILLIS_PER_TOKEN_AGAIN
        val away = if (home != null && replica.id != home && known < shared.sumOf { it.tokens }) AWAY_MILLIS else 0.0
        return Candidate(placement, old + remote + again + away)
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
        val tokens = locations.prefixTokens(holder, scope, generation.parts, READ_BY_THEN)
        val wait = linkFreeAt[address]?.let { -it.elapsedNow() }?.coerceAtLeast(Duration.ZERO) ?: Duration.ZERO
        val millis = service.transferMillis(max(0, tokens - cached), remote)
        return Source(address, tokens, millis + wait.toDouble(DurationUnit.MILLISECONDS))
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
        const val OLD_WEIGHTS_MILLIS = 400.0
        val OLD_WEIGHTS_FREE = 1.2.seconds
        const val REMOTE_MILLIS = 2.0
        const val MIN_FETCH_TOKENS = 64
        const val COPY_WEIGHT = 1.0

        // Reading shared parts again costs more than being late: a prefix of 6,000 tokens weighs like 600 ms.
        const val MILLIS_PER_TOKEN_AGAIN = 0.1
        const val MIN_HOME_TOKENS = 512
        const val AWAY_MILLIS = 40.0
        const val HASH_SPREAD = -0x61c88647

        // Parts that were sent to a replica are read, and can be fetched, after about this time.
        val READ_BY_THEN = 300.milliseconds
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
