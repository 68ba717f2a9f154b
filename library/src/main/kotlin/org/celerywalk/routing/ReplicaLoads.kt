package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the state of each replica beyond its last summary: requests of this entry that the summary does not include
 * yet, and the time for which unused prefixes stay in the replica's cache.
 */
internal class ReplicaLoads {
    private val states =
        object : LinkedHashMap<String, ReplicaState>(MAX_REPLICAS, LOAD_FACTOR, true) {
            // Entries of replaced replicas would accumulate. The state of an evicted replica is learned again.
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ReplicaState>) = size > MAX_REPLICAS
        }

    /** Returns the prompt tokens that this entry sent to [replica] since its last summary. */
    fun unreportedTokens(replica: ReplicaSummary): Long = states[replica.replica]?.unreportedTokens() ?: 0

    /** Records [summary] and returns true if it differs from the last one. */
    fun observe(summary: ReplicaSummary): Boolean {
        val state = states.getOrPut(summary.replica) { ReplicaState() }
        val isNew = state.summary != summary
        if (isNew) {
            state.summary = summary
            state.unreportedTokensByRequest.clear()
        }
        return isNew
    }

    /** Returns the time for which an unused prefix is expected to stay cached at [replica]. */
    fun lifetime(replica: String): Duration = states[replica]?.lifetime ?: INITIAL_LIFETIME

    /** Records a sent request; [idleTimes] holds the time since the last use of each piece at [replica], or null. */
    fun recordSent(requestId: String, replica: ReplicaSummary, missingTokens: Long, idleTimes: List<Duration?>) {
        observe(replica)
        val state = states.getValue(replica.replica)
        state.idleTimes[requestId] = idleTimes
        state.unreportedTokensByRequest[requestId] = missingTokens
    }

    /** Adjusts the lifetime by an answer whose request found [cachedPieces] pieces in the cache. */
    fun recordAnswer(requestId: String, replica: ReplicaSummary, cachedPieces: Int) {
        val state = states[replica.replica] ?: return
        state.unreportedTokensByRequest -= requestId
        state.idleTimes.remove(requestId)?.let { state.updateLifetime(it, cachedPieces) }
    }

    fun recordEnd(requestId: String, replica: ReplicaSummary) {
        val state = states[replica.replica] ?: return
        state.idleTimes -= requestId
        state.unreportedTokensByRequest -= requestId
    }

    private class ReplicaState {
        var summary: ReplicaSummary? = null
        var lifetime = INITIAL_LIFETIME
        val idleTimes = HashMap<String, List<Duration?>>()
        val unreportedTokensByRequest = HashMap<String, Long>()

        fun unreportedTokens(): Long = unreportedTokensByRequest.values.sum()

        /** Moves the lifetime towards the idle time of a piece that was kept longer or evicted sooner than expected. */
        fun updateLifetime(idleTimes: List<Duration?>, cachedPieces: Int) {
            val keptIdle = idleTimes.take(cachedPieces).lastOrNull()
            val evictedIdle = idleTimes.getOrNull(cachedPieces)
            if (keptIdle != null && keptIdle > lifetime) lifetime += (keptIdle - lifetime) * LIFETIME_GAIN
            if (evictedIdle != null && evictedIdle < lifetime) lifetime -= (lifetime - evictedIdle) * LIFETIME_GAIN
        }
    }

    private companion object {
        /** Nearly three times the 1,400 replicas of the planned fleet. */
        const val MAX_REPLICAS = 4_096
        const val LOAD_FACTOR = 0.75f
        const val LIFETIME_GAIN = 0.2
        val INITIAL_LIFETIME = 10.seconds
    }
}
