package org.celerywalk.bench.load

import com.fasterxml.jackson.databind.ObjectMapper
import java.net.URI
import java.net.http.HttpRequest

/** Builds requests to a server under load and parses its answers. */
internal interface LoadTarget {
    val name: String

    /** Builds the request for one completion. */
    fun request(prompt: String, maxTokens: Int): HttpRequest

    /** Classifies one line of the event stream. */
    fun classify(line: String): StreamLineKind
}

/** Meaning of a line of an event stream. */
internal enum class StreamLineKind { TOKENS, END, OTHER }

private val jsonMapper = ObjectMapper()

private fun jsonPost(url: String, body: Map<String, Any>) = HttpRequest.newBuilder(URI(url))
    .header("Content-Type", "application/json")
    .POST(HttpRequest.BodyPublishers.ofByteArray(jsonMapper.writeValueAsBytes(body)))

/** Sends chat completions to an entry. */
internal class EntryTarget(private val url: String, private val key: String, private val model: String) : LoadTarget {
    override val name = "entry"

    override fun request(prompt: String, maxTokens: Int): HttpRequest {
        val body = mapOf(
            "model" to model,
            "stream" to true,
            "max_tokens" to maxTokens,
            "messages" to listOf(mapOf("role" to "user", "content" to prompt)),
        )
        return jsonPost("$url/v1/chat/completions", body).header("Authorization", "Bearer $key").build()
    }

    override fun classify(line: String) = when {
        line == "data: [DONE]" -> StreamLineKind.END
        line.startsWith("data: {") && "\"content\":\"\"" !in line && "\"content\":" in line -> StreamLineKind.TOKENS
        else -> StreamLineKind.OTHER
    }
}

/** Sends completions directly to an engine stand-in; see docs/stand-ins.md. */
internal class EngineTarget(private val url: String, private val weights: String) : LoadTarget {
    private var nextAttemptNumber = 0
    override val name = "engine"

    override fun request(prompt: String, maxTokens: Int): HttpRequest {
        val body = mapOf(
            "attempt_id" to "load-${nextAttemptNumber++}",
            "prompt" to prompt,
            "cache_scope" to "load",
            "weights" to weights,
            "piece_names" to emptyList<String>(),
            "max_tokens" to maxTokens,
            "priority" to 0,
            "resume_offset" to 0,
            "resume_text" to "",
        )
        return jsonPost("$url/v1/generate", body).build()
    }

    override fun classify(line: String) = when (line) {
        "event: tokens" -> StreamLineKind.TOKENS
        "event: finished" -> StreamLineKind.END
        else -> StreamLineKind.OTHER
    }
}
