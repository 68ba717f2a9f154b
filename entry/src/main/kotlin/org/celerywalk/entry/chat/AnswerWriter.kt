package org.celerywalk.entry.chat

import org.celerywalk.entry.http.CallerResponse
import org.celerywalk.entry.http.HttpStatus
import org.celerywalk.entry.http.Problem
import org.celerywalk.entry.http.sendJson
import org.celerywalk.entry.http.sendProblem

/** Writes one answer to its caller. */
internal interface AnswerWriter {
    /** Writes the part that precedes the first token. */
    fun open()

    fun forward(text: String)

    /** Ends a complete answer with the whole [text]. */
    fun complete(text: String, reason: String, usage: Usage)

    /** Ends an incomplete answer so that no client takes it for a complete one. */
    fun fail(problem: Problem)

    /** Reports [problem] on an answer that the end of the connection cuts, so that it is not framed as complete. */
    fun breakOff(problem: Problem)

    /** Writes data that clients ignore, if the format allows it, so that a disconnected caller is detected. */
    fun keepAlive()
}

/** Writes an answer as server-sent events; only a complete one ends with `[DONE]`. */
internal class EventStreamWriter(
    private val response: CallerResponse,
    private val json: ChatCompletionJson,
    private val includeUsage: Boolean,
) : AnswerWriter {
    private var isOpened = false

    override fun open() {
        isOpened = true
        response.setHead(HttpStatus.OK, listOf("content-type" to "text/event-stream", "cache-control" to "no-cache"))
        writeEvent(json.roleChunk())
    }

    override fun forward(text: String) = writeEvent(json.textChunk(text))

    override fun complete(text: String, reason: String, usage: Usage) {
        writeEvent(json.finishChunk(reason))
        if (includeUsage) writeEvent(json.usageChunk(usage))
        writeEvent(DONE_MARKER)
        response.end()
    }

    override fun fail(problem: Problem) = if (isOpened) {
        writeEvent(problem.toJson())
        response.end()
    } else {
        response.sendProblem(problem)
    }

    override fun breakOff(problem: Problem) =
        if (isOpened) writeEvent(problem.toJson()) else response.sendProblem(problem)

    override fun keepAlive() {
        if (isOpened) response.write(KEEP_ALIVE_COMMENT)
    }

    private fun writeEvent(data: ByteArray) = response.write(DATA_PREFIX + data + EVENT_END)

    private companion object {
        val DATA_PREFIX = "data: ".toByteArray()
        val EVENT_END = "\n\n".toByteArray()
        val DONE_MARKER = "[DONE]".toByteArray()
        val KEEP_ALIVE_COMMENT = ": waiting\n\n".toByteArray()
    }
}

/** Writes an answer as one JSON object when it is complete. */
internal class JsonAnswerWriter(
    private val response: CallerResponse,
    private val json: ChatCompletionJson,
) : AnswerWriter {
    override fun open() = Unit

    override fun forward(text: String) = Unit

    override fun complete(text: String, reason: String, usage: Usage) =
        response.sendJson(HttpStatus.OK, json.completion(text, reason, usage))

    override fun fail(problem: Problem) = response.sendProblem(problem)

    override fun breakOff(problem: Problem) = response.sendProblem(problem)

    override fun keepAlive() = Unit
}
