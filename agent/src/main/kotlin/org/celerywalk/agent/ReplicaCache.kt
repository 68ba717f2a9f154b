package org.celerywalk.agent

import org.celerywalk.cache.PieceEvent
import org.celerywalk.cache.ResidentPieces
import org.celerywalk.engine.CacheEvents
import org.celerywalk.engine.Engine

/** Follows which pieces are resident in one engine's cache. */
internal class ReplicaCache(private val engine: Engine) {
    private val resident = ResidentPieces()

    fun follow(incarnation: String) = resident.follow(incarnation)

    /** Reads the engine's cache events, or its whole list after a gap. */
    fun read() {
        if (resident.needsFullRead) {
            engine.residentPieces().thenAccept { answer -> answer.onRight { replaceAll(it) } }
        } else {
            engine.cacheEvents(resident.lastSequence).thenAccept { answer ->
                answer.onRight { resident.apply(it.incarnation, it.lastSequence, it.toEvents()) }
            }
        }
    }

    /** Corrects the set by an answer that found the first [cachedTokens] of [promptTokens] in the cache. */
    fun answered(incarnation: String, pieces: List<Long>, cachedTokens: Int, promptTokens: Int) {
        if (pieces.isEmpty() || promptTokens <= 0) return
        val cachedPieces = (pieces.size.toLong() * cachedTokens / promptTokens).toInt()
        resident.answered(incarnation, pieces, cachedPieces)
    }

    private fun replaceAll(list: CacheEvents) {
        resident.replaceAll(list.incarnation, list.lastSequence, list.events.filter { it.resident }.map { it.piece })
    }

    private fun CacheEvents.toEvents() = events.map { PieceEvent(it.sequence, it.piece, it.resident) }
}
