package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary
import kotlin.time.TimeSource

/**
 * Chooses replicas by their expected time to first token.
 *
 * Candidates are the replicas that are expected to have cached a prefix of the prompt, the replicas that rendezvous
 * hashing selects for the prefix, and the replica with the shortest queue. This class is thread-safe.
 */
public class PrefixEndpointChooser(
    private val settings: RoutingSettings = RoutingSettings(),
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : EndpointChooser {
    private val placements = PlacementTable(settings.maxTrackedPieces, settings.popularityHalfLife)
    private val loads = ReplicaLoads()
    private val cacheEstimate = CacheEstimate(placements, loads)

    /** Smoothed share of replicas with queued work, by model; bounded by the number of configured models. */
    private val busyShareByModel = HashMap<String, Double>()

    internal val trackedPieceCount: Int get() = placements.size

    @Synchronized
    override fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary> {
        val usableReplicas = replicas.filter {
            it.accepting && it.model == request.model && it.weights == request.weights
        }
        if (usableReplicas.isEmpty()) return emptyList()
        val now = timeSource.markNow()
        usableReplicas.forEach { cacheEstimate.observe(it, now) }
        val cachedTokens = cacheEstimate.cachedTokens(request, usableReplicas, now)
        val candidates = usableReplicas.filterTo(LinkedHashSet()) { it.replica in cachedTokens }
        candidates += placements.rendezvousReplicas(request, usableReplicas, settings, now)
        candidates += usableReplicas.minBy { waitSeconds(it) }
        val weight = recomputeWeight(request.model, usableReplicas)
        val scores = candidates.associateWith {
            score(it, weight * missingTokens(request, cachedTokens[it.replica] ?: 0))
        }
        return candidates.sortedBy { scores[it] }
    }

    @Synchronized
    override fun recordSent(request: RoutingRequest, replica: ReplicaSummary) {
        val now = timeSource.markNow()
        val cachedTokens = cacheEstimate.cachedTokens(request, listOf(replica), now)[replica.replica] ?: 0
        loads.recordSent(
            request.requestId,
            replica,
            missingTokens(request, cachedTokens),
            cacheEstimate.idleTimes(request, replica, now),
        )
        // The pieces count as cached at once, so that a burst for a new prefix is not spread over all replicas.
        placements.addAll(request.pieceNames, replica, now)
    }

    @Synchronized
    override fun recordAnswer(request: RoutingRequest, replica: ReplicaSummary, cachedTokens: Int) {
        loads.recordAnswer(request.requestId, replica, cachedTokens / request.pieceTokens)
        placements.addAll(request.pieceNames, replica, timeSource.markNow())
    }

    @Synchronized
    override fun recordEnd(request: RoutingRequest, replica: ReplicaSummary) {
        loads.recordEnd(request.requestId, replica)
    }

    private fun recomputeWeight(model: String, replicas: List<ReplicaSummary>): Double {
        val currentShare =
            replicas.count { it.queuedTokens + loads.unreportedTokens(it) > 0 }.toDouble() / replicas.size
        val previousShare = busyShareByModel[model] ?: 0.0
        val smoothedShare = previousShare + (currentShare - previousShare) * BUSY_SHARE_GAIN
        busyShareByModel[model] = smoothedShare
        return settings.recomputeWeight + settings.busyRecomputeWeight * smoothedShare * smoothedShare
    }

    private fun waitSeconds(replica: ReplicaSummary): Double =
        (replica.queuedTokens + loads.unreportedTokens(replica)) / prefillSpeed(replica)

    private fun score(replica: ReplicaSummary, weightedMissingTokens: Double): Double =
        waitSeconds(replica) + weightedMissingTokens / prefillSpeed(replica)

    private fun prefillSpeed(replica: ReplicaSummary): Double =
        replica.prefillTokensPerSecond.takeIf { it > 0 }?.toDouble() ?: settings.prefillTokensPerSecond

    private fun missingTokens(request: RoutingRequest, cachedTokens: Int): Long =
        (request.promptTokens - cachedTokens).coerceAtLeast(0).toLong()

    private companion object {
        /** Averages over about 20 requests, because the share fluctuates when there are few replicas. */
        const val BUSY_SHARE_GAIN = 0.05
    }
}
