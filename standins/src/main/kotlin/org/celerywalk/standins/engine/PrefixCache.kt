package org.celerywalk.standins.engine

import java.security.MessageDigest
import java.util.HexFormat
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Simulates a prefix cache of limited size that evicts the least recently used pieces.
 *
 * Pieces are looked up by the engine's own chained hash over cache scope, weights and the whole prefix. The piece names
 * that clients send appear only in events and exports, so a wrong name cannot cause a false hit. Not thread-safe.
 */
internal class PrefixCache(private val settings: () -> EngineSettings) {
    private class LoggedEvent(val event: WireCacheEvent, val visibleAt: TimeMark, val isLost: Boolean)

    private val random = Random(EVENT_LOSS_SEED)
    private val namesByHash = LinkedHashMap<String, String>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<LoggedEvent>()
    private var sequence = 0L

    /** Returns the number of tokens in the leading resident pieces of [pieceHashes], and marks these pieces as used. */
    fun lookUpCachedTokens(pieceHashes: List<String>): Int {
        val hits = pieceHashes.takeWhile { it in namesByHash }
        // Marks the last piece first, so that it is evicted before the preceding pieces, which a hit on it requires.
        hits.asReversed().forEach { namesByHash[it] }
        return hits.size * settings().pieceTokens
    }

    fun add(pieceHashes: List<String>, pieceNames: List<String>) {
        pieceHashes.zip(pieceNames).asReversed().forEach { (hash, name) ->
            if (namesByHash.put(hash, name) == null) appendEvent(name, resident = true)
        }
        val maxPieces = settings().cacheTokens / settings().pieceTokens
        while (namesByHash.size > maxPieces) {
            val iterator = namesByHash.entries.iterator()
            val name = iterator.next().value
            iterator.remove()
            appendEvent(name, resident = false)
        }
    }

    fun clear() {
        namesByHash.clear()
        events.clear()
        sequence = 0
    }

    fun residentNames(): List<String> = namesByHash.values.toList()

    /** Returns the names and hashes of the resident pieces that have one of [pieceNames]. */
    fun exportPieces(pieceNames: Set<String>): List<ExportedPiece> =
        namesByHash.entries.filter { it.value in pieceNames }.map { ExportedPiece(it.value, it.key) }

    /**
     * Returns the sequence number of the newest event that is visible, lost or not, and the visible events with a
     * sequence number above [after] that are not lost.
     */
    fun eventsAfter(after: Long): Pair<Long, List<WireCacheEvent>> {
        val visible = events.filter { it.visibleAt.hasPassedNow() }
        val lastVisible = visible.lastOrNull()?.event?.sequence ?: 0
        return lastVisible to visible.filter { !it.isLost && it.event.sequence > after }.map { it.event }
    }

    /** Returns the sequence number of the newest event, 0 if there is none; the event need not be visible yet. */
    fun lastSequence(): Long = sequence

    private fun appendEvent(name: String, resident: Boolean) {
        sequence++
        val isLost = random.nextDouble() < settings().eventLoss
        val visibleAt = TimeSource.Monotonic.markNow() + settings().eventDelayMillis.milliseconds
        events.addLast(LoggedEvent(WireCacheEvent(sequence, name, resident), visibleAt, isLost))
        if (events.size > MAX_LOGGED_EVENTS) events.removeFirst()
    }

    private companion object {
        const val EVENT_LOSS_SEED = 7
        const val INITIAL_CAPACITY = 1024
        const val LOAD_FACTOR = 0.75f
        const val MAX_LOGGED_EVENTS = 10_000
    }
}

/** Returns the chained hashes of the complete pieces of [prompt]; a partial piece at the end has no hash. */
internal fun hashPieces(prompt: String, pieceTokens: Int, cacheScope: String, weights: String): List<String> {
    val bytes = prompt.toByteArray()
    val pieceBytes = pieceTokens * BYTES_PER_TOKEN
    var previousHash = MessageDigest.getInstance("SHA-256").digest("$cacheScope\n$weights\n".toByteArray())
    return (0 until bytes.size / pieceBytes).map { index ->
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(previousHash)
        digest.update(bytes, index * pieceBytes, pieceBytes)
        previousHash = digest.digest()
        HexFormat.of().formatHex(previousHash)
    }
}
