package org.celerywalk.cache

/** Event that a piece entered or left an engine's cache. [sequence] grows by one with every event of the engine. */
public data class PieceEvent(public val sequence: Long, public val piece: Long, public val isResident: Boolean)

/**
 * Pieces that are resident in one engine's cache according to its events and answers.
 *
 * The set belongs to one incarnation of the engine and is cleared when that changes. Between a lost event and the next
 * full read it is inexact, so it must not be relied on for correctness. Safe for use from several threads.
 */
public class ResidentPieces {
    private val pieces = HashSet<Long>()

    /** Engine incarnation to which the set belongs, empty before the first report. */
    @get:Synchronized
    public var incarnation: String = ""
        private set

    /** Sequence number of the last event that is included in the set. */
    @get:Synchronized
    public var lastSequence: Long = 0
        private set

    /** True if the engine's whole list must be read, because the engine is new or events were lost. */
    @get:Synchronized
    public var needsFullRead: Boolean = true
        private set

    /** Number of resident pieces. */
    public val size: Int
        @Synchronized get() = pieces.size

    /** Clears the set if [incarnation] differs from the current one. */
    @Synchronized
    public fun updateIncarnation(incarnation: String) {
        if (incarnation == this.incarnation) return
        this.incarnation = incarnation
        pieces.clear()
        lastSequence = 0
        needsFullRead = true
    }

    /**
     * Applies [events] of [incarnation]; a gap in their sequence numbers sets [needsFullRead].
     *
     * @param newestSequence sequence number of the newest event that the engine has issued.
     */
    @Synchronized
    public fun apply(incarnation: String, newestSequence: Long, events: List<PieceEvent>) {
        updateIncarnation(incarnation)
        events.filter { it.sequence > lastSequence }.sortedBy { it.sequence }.forEach { event ->
            if (event.sequence != lastSequence + 1) needsFullRead = true
            if (event.isResident) pieces += event.piece else pieces -= event.piece
            lastSequence = event.sequence
        }
        if (newestSequence > lastSequence) needsFullRead = true
    }

    /** Replaces the set by the engine's list [residentPieces], which covers all events up to [lastIncludedSequence]. */
    @Synchronized
    public fun replaceAll(incarnation: String, lastIncludedSequence: Long, residentPieces: List<Long>) {
        updateIncarnation(incarnation)
        // A list that is older than the applied events would undo some of them.
        if (lastIncludedSequence < lastSequence) return
        pieces.clear()
        pieces += residentPieces
        lastSequence = lastIncludedSequence
        needsFullRead = false
    }

    /** Corrects the set by an answer of [incarnation] that found the first [cachedPieces] of [names] resident. */
    @Synchronized
    public fun recordAnswer(incarnation: String, names: List<Long>, cachedPieces: Int) {
        if (incarnation != this.incarnation) return
        pieces += names.take(cachedPieces)
        // The first cache miss was not resident. The pieces that the request itself added are reported by events.
        names.getOrNull(cachedPieces)?.let { pieces -= it }
    }

    /** Returns the number of leading [names] that are resident without a gap, or 0 for another [incarnation]. */
    @Synchronized
    public fun prefixPieceCount(incarnation: String, names: List<Long>): Int =
        if (incarnation == this.incarnation) names.takeWhile { it in pieces }.size else 0
}
