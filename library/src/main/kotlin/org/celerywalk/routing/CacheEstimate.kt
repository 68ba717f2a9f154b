package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.endpoint.ReplicaSummary.Companion.shortPieceName
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Estimates the contents of the replicas' prefix caches. Correctness does not depend on the estimate. */
internal class CacheEstimate(private val placements: PlacementTable, private val loads: ReplicaLoads) {
    /** Records from a new summary the pieces that requests of other entries left in the replica's cache. */
    fun observe(summary: ReplicaSummary, now: ComparableTimeMark) {
        if (!loads.observe(summary)) return
        summary.recentPieces.takeLast(ReplicaSummary.MAX_RECENT_PIECES).forEach {
            placements.addWithParents(it, summary, now)
        }
    }

    /** Returns, by replica, the length in tokens of the longest prefix that it is expected to have cached. */
    fun cachedTokens(
        request: RoutingRequest,
        replicas: List<ReplicaSummary>,
        now: ComparableTimeMark,
    ): Map<String, Int> {
        val incarnations = replicas.associate { it.replica to it.engineIncarnation }
        val cachedTokensByReplica = HashMap<String, Int>()
        for (depth in request.pieceNames.indices.reversed()) {
            for (holder in placements.holders(shortPieceName(request.pieceNames[depth]))) {
                val isCurrent = incarnations[holder.replica] == holder.incarnation
                if (isCurrent && now - holder.lastUsedAt <= loads.lifetime(holder.replica)) {
                    cachedTokensByReplica.putIfAbsent(holder.replica, (depth + 1) * request.pieceTokens)
                }
            }
        }
        return cachedTokensByReplica
    }

    /** Returns, for each piece, the time since it was last used at [replica], or null if no use is known. */
    fun idleTimes(request: RoutingRequest, replica: ReplicaSummary, now: ComparableTimeMark): List<Duration?> =
        request.pieceNames.map { piece ->
            val holder = placements.holders(shortPieceName(piece)).find {
                it.replica == replica.replica && it.incarnation == replica.engineIncarnation
            }
            holder?.let { now - it.lastUsedAt }
        }
}
