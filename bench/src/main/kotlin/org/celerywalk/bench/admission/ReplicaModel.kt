package org.celerywalk.bench.admission

import org.celerywalk.bench.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Prompt that a replica reads; [priority] 0 is read first. */
internal class Prefill(val tokens: Long, val priority: Int, val onRead: () -> Unit) {
    var remainingTokens: Long = tokens
}

/** Model of a replica that reads prompts in chunks, by priority and then in order of arrival. */
internal class ReplicaModel(private val loop: EventLoop) {
    private val prefills = ArrayList<Prefill>()
    private var isReading = false

    fun add(prefill: Prefill) {
        prefills += prefill
        readNextChunk()
    }

    fun cancel(prefill: Prefill) {
        prefills -= prefill
    }

    private fun readNextChunk() {
        val next = prefills.minByOrNull { it.priority } ?: return
        if (isReading) return
        isReading = true
        val chunk = minOf(next.remainingTokens, CHUNK_TOKENS)
        loop.schedule(readTime(chunk)) {
            isReading = false
            next.remainingTokens -= chunk
            if (next.remainingTokens == 0L && prefills.remove(next)) next.onRead()
            readNextChunk()
        }
    }

    companion object {
        const val TOKENS_PER_MILLI = 20.0
        private const val CHUNK_TOKENS = 1_000L

        fun readTime(tokens: Long): Duration = (tokens / TOKENS_PER_MILLI).milliseconds
    }
}
