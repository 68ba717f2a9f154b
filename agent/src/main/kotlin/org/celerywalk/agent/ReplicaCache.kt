package org.celerywalk.agent

import org.celerywalk.cache.PieceEvent
import org.celerywalk.cache.ResidentPieces
import org.celerywalk.engine.CacheEvents
import org.celerywalk.engine.Engine

/** Tracks which KV cache blocks (pieces) are resident in the prefix cache of one engine. */
internal class ReplicaCache(private val engine: Engine) {
    private val residentPieces = ResidentPieces()

    /** Clears the set of resident pieces if the engine has restarted under another [incarnation]. */
    fun updateIncarnation(incarnation: String) = residentPieces.updateIncarnation(incarnation)

    /** Requests new cache events from the engine, or the full list of resident pieces after a gap. */
    fun refresh() {
        if (residentPieces.needsFullRead) {
            engine.residentPieces().thenAccept { answer -> answer.onRight { replacePieces(it) } }
        } else {
            engine.cacheEvents(residentPieces.lastSequence).thenAccept { answer ->
                answer.onRight { residentPieces.apply(it.incarnation, it.lastSequence, it.toEvents()) }
            }
        }
    }

    /** Corrects the set of resident pieces by an answer with [cachedTokens] of its [promptTokens] from the cache. */
    fun recordAnswer(incarnation: String, pieces: List<Long>, cachedTokens: Int, promptTokens: Int) {
        if (pieces.isEmpty() || promptTokens <= 0) return
        val cachedPieces = (pieces.size.toLong() * cachedTokens / promptTokens).toInt()
        residentPieces.recordAnswer(incarnation, pieces, cachedPieces)
    }

    private fun replacePieces(list: CacheEvents) {
        residentPieces.replaceAll(
            list.incarnation,
            list.lastSequence,
            list.events.filter { it.isResident }.map { it.piece },
        )
    }

    private fun CacheEvents.toEvents() = events.map { PieceEvent(it.sequence, it.piece, it.isResident) }
}
