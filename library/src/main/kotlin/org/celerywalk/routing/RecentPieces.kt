package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary

/**
 * Selects the pieces that an agent reports in [ReplicaSummary.recentPieces].
 *
 * Each request contributes the pieces that it adds to the cache and the last cached piece of its prefix. Entries that
 * know the prefix refresh its earlier pieces themselves. This class is thread-safe.
 */
public class RecentPieces {
    private val recentNames = LinkedHashSet<Int>()

    /** Records a request whose first [cachedPieces] pieces are expected to be cached. */
    @Synchronized
    public fun recordUse(pieceNames: List<Long>, cachedPieces: Int) {
        pieceNames.drop((cachedPieces - 1).coerceAtLeast(0)).map(ReplicaSummary::shortPieceName).forEach {
            recentNames.remove(it)
            recentNames.add(it)
        }
        while (recentNames.size > ReplicaSummary.MAX_RECENT_PIECES) recentNames.remove(recentNames.first())
    }

    /** Returns the short names of the pieces, most recently used last. */
    @Synchronized
    public fun shortNames(): List<Int> = recentNames.toList()
}
