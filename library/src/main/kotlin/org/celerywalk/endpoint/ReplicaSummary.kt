package org.celerywalk.endpoint

/**
 * State of one replica as its agent reported it, in bounded size.
 *
 * @property weights version of the loaded weights, empty while loading.
 * @property engineIncarnation changes whenever the engine restarts with an empty cache.
 * @property accepting true if the replica accepts new requests.
 * @property queuedTokens prefill tokens queued ahead of a new request.
 * @property running number of running requests.
 * @property capacity number of requests that the engine runs at once.
 * @property recentPieces short names ([shortPieceName]) of the most recently used cache pieces, at most
 *   [MAX_RECENT_PIECES]. From these an entry learns what requests of other entries left in the cache.
 * @property prefillTokensPerSecond measured prefill speed of the engine, 0 while unknown.
 */
public data class ReplicaSummary(
    public val endpoint: String,
    public val replica: String,
    public val model: String,
    public val weights: String,
    public val engineIncarnation: String,
    public val accepting: Boolean,
    public val queuedTokens: Long,
    public val running: Int,
    public val capacity: Int,
    public val recentPieces: List<Int> = emptyList(),
    public val prefillTokensPerSecond: Long = 0,
) {
    public companion object {
        /** Limits a summary to about 200 bytes. */
        public const val MAX_RECENT_PIECES: Int = 32

        /** Truncates a piece name to 32 bits; a rare collision only makes a cache estimate inexact. */
        public fun shortPieceName(piece: Long): Int = piece.toInt()
    }
}
