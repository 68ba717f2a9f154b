package org.celerywalk.entry.chat

/**
 * Fields of a chat completions request that the entry uses.
 *
 * @property prompt the messages as one text; requests with equal first messages have equal prompt prefixes.
 * @property isInteractive false for requests that may wait behind interactive ones.
 */
internal data class ChatRequest(
    val model: String,
    val prompt: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val isStreaming: Boolean,
    val includeUsage: Boolean,
    val isInteractive: Boolean,
)
