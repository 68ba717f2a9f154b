package org.celerywalk.engine

import java.util.concurrent.CompletableFuture

/** Listener that keeps only the error of a generation. */
internal class FailureListener : EngineListener {
    val error = CompletableFuture<EngineError>()

    override fun onStarted(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int) = Unit

    override fun onTokens(offset: Int, count: Int, text: String) = Unit

    override fun onFinished(totalTokens: Int, reason: String) = Unit

    override fun onFailed(error: EngineError) {
        this.error.complete(error)
    }
}
