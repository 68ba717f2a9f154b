package org.celerywalk.engine

import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Records the events of one generation; the `await` functions fail after [TIMEOUT_SECONDS]. */
internal class RecordingListener(private val onOffset: (Int) -> Unit = {}) : EngineListener {
    private val texts = CopyOnWriteArrayList<String>()
    val offsets = CopyOnWriteArrayList<Int>()
    val cachedTokensAtStart = CompletableFuture<Int>()
    private val outcome = CompletableFuture<Pair<Int?, EngineError?>>()
    val text: String get() = texts.joinToString("")

    override fun onStarted(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int) {
        cachedTokensAtStart.complete(cachedTokens)
    }

    override fun onTokens(offset: Int, count: Int, text: String) {
        texts += text
        offsets += offset
        onOffset(offset)
    }

    override fun onFinished(totalTokens: Int, reason: String) {
        outcome.complete(totalTokens to null)
    }

    override fun onFailed(error: EngineError) {
        outcome.complete(null to error)
    }

    /** Waits for the end and returns the total number of tokens, null if the generation failed. */
    fun awaitTotalTokens(): Int? = outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).first

    /** Waits for the end and returns the error, null if the generation finished. */
    fun awaitError(): EngineError? = outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).second

    fun isEnded(): Boolean = outcome.isDone

    private companion object {
        const val TIMEOUT_SECONDS = 30L
    }
}
