package org.celerywalk.standins.engine

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** State of one sequence from its arrival until its final event. The lock of the batch guards its fields. */
internal class Generation(val body: GenerateBody, settings: EngineSettings) {
    val pieceHashes = hashPieces(body.prompt, settings.pieceTokens, body.cacheScope, body.weights)
    val promptTokens = countTokens(body.prompt)
    private val completion = DeterministicCompletion(body.prompt)
    private val maxLengthTokens =
        if (settings.answerTokens > 0) minOf(settings.answerTokens, body.maxTokens) else body.maxTokens
    private val finishReason = if (maxLengthTokens < body.maxTokens) "stop" else "length"
    private val events = LinkedBlockingQueue<StreamEvent>()
    private var offset = body.resumeOffset

    /** Sequence number in the order of arrival; breaks ties between equal priorities. */
    var arrivalNumber = 0L

    /** Tokens that are still to be prefilled before the next token can be generated. */
    var uncomputedTokens = promptTokens + body.resumeOffset

    val isComplete: Boolean get() = offset >= maxLengthTokens

    /** Returns whether the text that the client has already received equals what this engine would have generated. */
    fun hasMatchingResumeText(): Boolean = body.resumeText == completion.text(0, body.resumeOffset)

    fun start(incarnation: String, cachedTokens: Int) {
        uncomputedTokens -= cachedTokens
        events.add(StreamEvent.Started(incarnation, body.weights, promptTokens, cachedTokens))
    }

    fun generateToken() {
        events.add(StreamEvent.Tokens(offset, 1, completion.tokenText(offset)))
        offset++
    }

    fun finish() {
        events.add(StreamEvent.Finished(offset, finishReason))
    }

    fun abort() {
        events.add(StreamEvent.Aborted)
    }

    /** Waits for the next event and returns it, or null if none arrives within [timeoutMillis]. */
    fun pollEvent(timeoutMillis: Long): StreamEvent? = events.poll(timeoutMillis, TimeUnit.MILLISECONDS)
}
