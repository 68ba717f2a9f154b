package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.endpoint.ReplicaSummary.Companion.shortPieceName
import kotlin.math.ceil
import kotlin.math.pow
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Records which replicas hold which prefix cache pieces; the least recently used pieces are evicted first. */
internal class PlacementTable(private val maxPieces: Int, private val popularityHalfLife: Duration) {
    private val pieces =
        object : LinkedHashMap<Int, PieceEntry>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, PieceEntry>) = size > maxPieces
        }

    private val requestsByModel = HashMap<String, DecayedCount>()

    val size: Int get() = pieces.size

    fun holders(piece: Int): List<Holder> = pieces[piece]?.holders.orEmpty()

    fun add(piece: Int, replica: ReplicaSummary, now: ComparableTimeMark) {
        val entry = pieces.getOrPut(piece) { PieceEntry() }
        entry.holders.removeAll { it.replica == replica.replica }
        entry.holders.add(0, Holder(replica.replica, replica.engineIncarnation, now))
        if (entry.holders.size > MAX_HOLDERS) entry.holders.removeAt(MAX_HOLDERS)
    }

    /** Records that [replica] holds [piece] and all known earlier pieces of its prefix. */
    fun addWithParents(piece: Int, replica: ReplicaSummary, now: ComparableTimeMark) {
        var currentPiece: Int? = piece
        // A prefix has at most MAX_PREFIX_PIECES pieces. The bound also ends a cycle, which colliding short names could
        // cause.
        repeat(MAX_PREFIX_PIECES) {
            currentPiece?.let { add(it, replica, now) }
            currentPiece = currentPiece?.let { pieces[it]?.parent }
        }
    }

    /** Records that [replica] holds all pieces of a prompt, and which piece precedes which. */
    fun addAll(pieceNames: List<Long>, replica: ReplicaSummary, now: ComparableTimeMark) {
        val names = pieceNames.map(::shortPieceName)
        names.forEach { add(it, replica, now) }
        names.zipWithNext { parent, piece -> pieces[piece]?.parent = parent }
    }

    /**
     * Selects the replicas for a prompt by rendezvous hashing, and counts the request.
     *
     * The set of replicas is narrowed piece by piece: each prefix keeps as many replicas as its share of this entry's
     * requests needs. A longer prefix selects among the replicas of the shorter prefix, so that few caches hold a copy
     * of the common part. All entries see similar shares and therefore agree without exchanging state.
     */
    fun rendezvousReplicas(
        request: RoutingRequest,
        usableReplicas: List<ReplicaSummary>,
        settings: RoutingSettings,
        now: ComparableTimeMark,
    ): List<ReplicaSummary> {
        val totalRequests = requestsByModel.getOrPut(request.model) { DecayedCount() }.add(now)
        var replicas = usableReplicas
        request.pieceNames.forEach { name ->
            val piece = pieces.getOrPut(shortPieceName(name)) { PieceEntry() }
            val requestShare = piece.requests.add(now) / totalRequests
            val neededReplicas = ceil(requestShare * usableReplicas.size * settings.replicationFactor).toInt()
                .coerceAtLeast(settings.minCandidates)
            if (neededReplicas < replicas.size) replicas = Rendezvous.top(name, neededReplicas, replicas)
        }
        val lastPieceName = request.pieceNames.lastOrNull() ?: return emptyList()
        return Rendezvous.top(lastPieceName, settings.maxCandidates, replicas)
    }

    /** Identifies an engine incarnation that held a piece when it was [last used][lastUsedAt]. */
    class Holder(val replica: String, val incarnation: String, val lastUsedAt: ComparableTimeMark)

    private inner class PieceEntry {
        val holders = ArrayList<Holder>(2)
        val requests = DecayedCount()
        var parent: Int? = null
    }

    private inner class DecayedCount {
        private var count = 0.0
        private var updatedAt: ComparableTimeMark? = null

        fun add(now: ComparableTimeMark): Double {
            val halfLives = updatedAt?.let { (now - it) / popularityHalfLife } ?: 0.0
            count = count * HALF.pow(halfLives) + 1
            updatedAt = now
            return count
        }
    }

    private companion object {
        /** More holders than the candidates for the most requested prefix are not useful. */
        const val MAX_HOLDERS = 8
        const val MAX_PREFIX_PIECES = 64
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
        const val HALF = 0.5
    }
}
