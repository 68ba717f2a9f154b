package org.celerywalk.entry.chat

import org.celerywalk.entry.http.Json

/** Token counts of one answer. */
internal data class Usage(val promptTokens: Int, val cachedTokens: Int, val completionTokens: Int) {
    fun toMap() = mapOf(
        "prompt_tokens" to promptTokens,
        "completion_tokens" to completionTokens,
        "total_tokens" to promptTokens + completionTokens,
        "prompt_tokens_details" to mapOf("cached_tokens" to cachedTokens),
    )
}

/** Builds the JSON objects of one answer in the chat completions format. */
internal class ChatCompletionJson(requestId: String, private val model: String, private val createdSeconds: Long) {
    private val id = "chatcmpl-$requestId"

    fun completion(text: String, reason: String, usage: Usage): ByteArray = Json.encode(
        commonFields("chat.completion") + mapOf(
            "choices" to listOf(
                mapOf(
                    "index" to 0,
                    "message" to mapOf("role" to "assistant", "content" to text),
                    "finish_reason" to reason,
                ),
            ),
            "usage" to usage.toMap(),
        ),
    )

    fun roleChunk(): ByteArray = chunk(mapOf("role" to "assistant", "content" to ""), null)

    fun textChunk(text: String): ByteArray = chunk(mapOf("content" to text), null)

    fun finishChunk(reason: String): ByteArray = chunk(emptyMap(), reason)

    fun usageChunk(usage: Usage): ByteArray = Json.encode(
        commonFields("chat.completion.chunk") + mapOf("choices" to emptyList<Any>(), "usage" to usage.toMap()),
    )

    private fun chunk(delta: Map<String, String>, reason: String?): ByteArray = Json.encode(
        commonFields("chat.completion.chunk") +
            mapOf("choices" to listOf(mapOf("index" to 0, "delta" to delta, "finish_reason" to reason))),
    )

    private fun commonFields(objectType: String): Map<String, Any> =
        mapOf("id" to id, "object" to objectType, "created" to createdSeconds, "model" to model)
}
