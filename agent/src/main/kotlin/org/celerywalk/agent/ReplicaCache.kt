package org.celerywalk.agent

import org.celerywalk.cache.PieceEvent
import org.celerywalk.cache.ResidentPieces
import org.celerywalk.engine.CacheEvents
import org.celerywalk.engine.Engine

/** Tracks which KV cache blocks (pieces) are resident in the prefix cache of one engine. */
internal class ReplicaCache(private val engine: Engine) {
    private val resident = ResidentPieces()

    /** Drops the set if the engine has restarted under another [incarnation]. */
    fun updateIncarnation(incarnation: String) = resident.follow(incarnation)

    /** Requests new cache events from the engine, or the full list of resident pieces after a gap. */
    fun refresh() {
        if (resident.needsFullRead) {
            engine.residentPieces().thenAccept { answer -> answer.onRight { replaceResident(it) } }
        } else {
            engine.cacheEvents(resident.lastSequence).thenAccept { answer ->
                answer.onRight { resident.apply(it.incarnation, it.lastSequence, it.toEvents()) }
            }
        }
    }

    /** Corrects the set by an answer that found the first [cachedTokens] of [promptTokens] in the cache. */
    fun recordAnswer(incarnation: String, pieces: List<Long>, cachedTokens: Int, promptTokens: Int) {
        if (pieces.isEmpty() || promptTokens <= 0) return
        val cachedPieces = (pieces.size.toLong() * cachedTokens / promptTokens).toInt()
        resident.answered(incarnation, pieces, cachedPieces)
    }

    private fun replaceResident(list: CacheEvents) {
        resident.replaceAll(list.incarnation, list.lastSequence, list.events.filter { it.resident }.map { it.piece })
    }

    private fun CacheEvents.toEvents() = events.map { PieceEvent(it.sequence, it.piece, it.resident) }
}
