package org.celerywalk.bench

import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.routing.EndpointChooser
import org.celerywalk.routing.PrefixEndpointChooser
import org.celerywalk.routing.RoutingRequest
import org.celerywalk.routing.RoutingSettings
import kotlin.random.Random

/** Describes a routing policy; [createChooser] creates the chooser of one simulated entry. */
internal class Policy(
    val name: String,
    val isOracle: Boolean = false,
    val createChooser: (Simulation) -> EndpointChooser,
) {
    companion object {
        val Product = Policy("celerywalk") { simulation ->
            val settings = RoutingSettings(prefillTokensPerSecond = simulation.workload.prefillTokensPerSecond)
            PrefixEndpointChooser(settings, simulation.loop.clock)
        }

        /** Oracles that differ in the cost of a token that is not cached. A report row uses the best of them. */
        val oracles = listOf(2.0, 4.0, 8.0, 16.0).map { recomputeWeight ->
            Policy("oracle", isOracle = true) { OracleChooser(it, recomputeWeight) }
        }
        val baselines = listOf(
            Policy("round robin") { RoundRobinChooser() },
            Policy("least load") { LeastLoadChooser() },
            Policy("prefix hash") { PrefixHashChooser() },
            Policy("bounded-load hash") { BoundedHashChooser() },
        )
    }
}

/** Counts the open requests that its entry has sent to each replica. */
internal abstract class BaselineChooser : EndpointChooser {
    private val openRequestsByReplica = HashMap<String, Int>()

    protected fun openRequests(replica: ReplicaSummary): Int = openRequestsByReplica[replica.replica] ?: 0

    override fun recordSent(request: RoutingRequest, replica: ReplicaSummary) {
        openRequestsByReplica.merge(replica.replica, 1, Int::plus)
    }

    override fun recordAnswer(request: RoutingRequest, replica: ReplicaSummary, cachedTokens: Int) = Unit

    override fun recordEnd(request: RoutingRequest, replica: ReplicaSummary) {
        openRequestsByReplica.merge(replica.replica, -1, Int::plus)
    }

    /** Ranks the accepting replicas by rendezvous hashing of the whole prefix, that is, of its last full piece. */
    protected fun rankByHash(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> {
        val prefixHash = request.pieceNames.lastOrNull() ?: 0
        return replicas.filter { it.accepting }.sortedBy { Random(prefixHash xor replicaHash(it)).nextLong() }
    }

    private fun replicaHash(replica: ReplicaSummary): Long = Random(replica.replica.hashCode()).nextLong()
}

internal class RoundRobinChooser : BaselineChooser() {
    private var startIndex = 0

    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> {
        val acceptingReplicas = replicas.filter { it.accepting }
        startIndex++
        return acceptingReplicas.indices.map { acceptingReplicas[(it + startIndex) % acceptingReplicas.size] }
    }
}

/** Prefers the replica with the fewest open requests of this entry; the reported queue breaks ties. */
internal class LeastLoadChooser : BaselineChooser() {
    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> =
        replicas.filter { it.accepting }.sortedWith(compareBy({ openRequests(it) }, { it.queuedTokens }))
}

internal class PrefixHashChooser : BaselineChooser() {
    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>) = rankByHash(request, replicas)
}

/** Chooses the first replica by hash whose load is at most [MAX_LOAD_FACTOR] times the mean. */
internal class BoundedHashChooser : BaselineChooser() {
    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> {
        val rankedReplicas = rankByHash(request, replicas)
        val maxOpenRequests =
            MAX_LOAD_FACTOR * (rankedReplicas.sumOf { openRequests(it) } + 1) / rankedReplicas.size.coerceAtLeast(1)
        return rankedReplicas.sortedBy { openRequests(it) + 1 > maxOpenRequests.coerceAtLeast(1.0) }
    }

    private companion object {
        const val MAX_LOAD_FACTOR = 1.25
    }
}

/**
 * Reads the current cache, queue and speed of every replica directly when it chooses.
 *
 * A piece also counts as cached if a request that is queued at the replica will compute it first. The wait is estimated
 * from all queued work: counting only work of the same or a higher priority, or also the recomputation of pieces that
 * were evicted while requests waited, gave a higher 99th percentile.
 */
internal class OracleChooser(
    private val simulation: Simulation,
    private val recomputeWeight: Double,
) : BaselineChooser() {
    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> =
        replicas.indices.filter { simulation.agents[it].engine.isUp }
            .sortedBy { score(request, simulation.agents[it]) }
            .map { replicas[it] }

    private fun score(request: RoutingRequest, agent: SimulatedAgent): Double {
        val cachedPieces = request.pieceNames.matchingPrefixLength { agent.willBeCached(it) }
        val missingTokens = (request.promptTokens - cachedPieces * request.pieceTokens).coerceAtLeast(0)
        return (agent.queuedTokens + missingTokens * recomputeWeight) / agent.engine.prefillTokensPerSecond
    }
}
