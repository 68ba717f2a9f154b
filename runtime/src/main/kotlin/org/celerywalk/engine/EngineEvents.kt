package org.celerywalk.engine

import com.fasterxml.jackson.databind.JsonNode
import org.celerywalk.http.requiredField

/** Passes an event of an engine's stream to the listener; [beforeEnd] is called before the event that ends it. */
internal fun EngineListener.dispatch(name: String, data: JsonNode, beforeEnd: () -> Unit) {
    when (name) {
        "started" -> onStarted(
            data.requiredField("incarnation").asText(),
            data.requiredField("weights").asText(),
            data.requiredField("prompt_tokens").asInt(),
            data.requiredField("cached_tokens").asInt(),
        )
        "tokens" -> onTokens(
            data.requiredField("offset").asInt(),
            data.requiredField("count").asInt(),
            data.requiredField("text").asText(),
        )
        "finished" -> {
            val totalTokens = data.requiredField("total_tokens").asInt()
            val reason = data.requiredField("reason").asText()
            beforeEnd()
            onFinished(totalTokens, reason)
        }
    }
}

/** Returns the message of [failure], or its class name if it has none. */
internal fun messageOf(failure: Throwable): String = failure.message ?: failure.javaClass.simpleName
