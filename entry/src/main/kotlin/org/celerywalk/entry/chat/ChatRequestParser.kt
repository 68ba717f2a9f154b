package org.celerywalk.entry.chat

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import org.celerywalk.cache.PieceNames
import org.celerywalk.entry.http.Json
import org.celerywalk.entry.http.Problem
import org.celerywalk.entry.http.invalidRequest
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

private const val DEFAULT_MAX_TOKENS = 1024
private const val MAX_TOKENS_LIMIT = 32_768

/** Parses the body of a chat completions request; unknown and unused fields are ignored. */
internal fun parseChatRequest(body: ByteArray): Either<Problem, ChatRequest> = either {
    val text = decodeUtf8(body).bind()
    val root = ensureNotNull(Json.parse(text)) { invalidRequest("invalid_json", "the body is not one JSON value") }
    ensure(root.isObject) { invalidRequest("invalid_json", "the body is not a JSON object") }
    val model = ensureNotNull(root["model"]?.textValue()) { invalidRequest("invalid_model", "model is not a string") }
    ensure((root["n"]?.asInt() ?: 1) == 1) { invalidRequest("invalid_n", "n is not 1; only one choice is supported") }
    val prompt = promptOf(root["messages"])
    ensure(Charsets.UTF_8.newEncoder().canEncode(prompt)) {
        invalidRequest("invalid_text", "the messages contain a lone surrogate")
    }
    ChatRequest(
        model = model,
        prompt = prompt,
        promptTokens = PieceNames.tokens(prompt),
        maxTokens = maxTokensOf(root),
        isStreaming = root["stream"]?.asBoolean() ?: false,
        includeUsage = root["stream_options"]?.get("include_usage")?.asBoolean() ?: false,
        isInteractive = root["service_tier"]?.textValue() != "flex",
    )
}

/** Decodes [body] as UTF-8; malformed input is an error instead of being replaced. */
internal fun decodeUtf8(body: ByteArray): Either<Problem, String> = try {
    Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString().right()
} catch (_: CharacterCodingException) {
    invalidRequest("invalid_utf8", "the body is not UTF-8").left()
}

private fun Raise<Problem>.maxTokensOf(root: JsonNode): Int {
    val node = root["max_completion_tokens"] ?: root["max_tokens"]
    val value = if (node == null || node.isNull) DEFAULT_MAX_TOKENS else node.takeIf { it.isInt }?.intValue()
    ensure(value != null && value in 1..MAX_TOKENS_LIMIT) {
        invalidRequest("invalid_max_tokens", "max_tokens is not a whole number between 1 and $MAX_TOKENS_LIMIT")
    }
    return value
}

private fun Raise<Problem>.promptOf(messages: JsonNode?): String {
    ensure(messages != null && messages.isArray && !messages.isEmpty) {
        invalidRequest("invalid_messages", "messages is not a list with at least one message")
    }
    return messages.joinToString("") { message -> "<|${roleOf(message)}|>\n${contentText(message["content"])}\n" } +
        "<|assistant|>\n"
}

private fun Raise<Problem>.roleOf(message: JsonNode): String = ensureNotNull(message["role"]?.textValue()) {
    invalidRequest("invalid_messages", "a message has no role")
}

private fun Raise<Problem>.contentText(content: JsonNode?): String = when {
    content == null || content.isNull -> ""
    content.isTextual -> content.textValue()
    content.isArray -> content.joinToString("") { part -> partText(part) }
    else -> raise(invalidRequest("invalid_messages", "the content of a message is neither text nor a list of parts"))
}

private fun Raise<Problem>.partText(part: JsonNode): String = ensureNotNull(part["text"]?.textValue()) {
    invalidRequest("invalid_messages", "a part of a message is not text; expected parts of type text")
}
