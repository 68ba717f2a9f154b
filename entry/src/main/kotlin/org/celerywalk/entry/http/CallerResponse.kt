package org.celerywalk.entry.http

import io.javalin.http.Context
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import org.celerywalk.http.server.isNextRequestAhead
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.io.IOException
import java.util.concurrent.CompletableFuture

/**
 * Writes a response without blocking.
 *
 * If [pendingBytes] is large, the producer must pause; [onDrained] tells it when to continue.
 *
 * @param requestId returned to the caller in every response.
 * @param isLeaving returns true once connections close after the responses to what was read from them.
 */
internal class CallerResponse(
    private val context: Context,
    requestId: String,
    private val isLeaving: () -> Boolean,
) : WriteListener {
    /** Completes when the response was written or the caller has disconnected. */
    val completion = CompletableFuture<Void?>()

    /** Called without a lock when the pending bytes have been written. */
    @Volatile
    var onDrained: () -> Unit = {}

    /** Called without a lock when the caller has disconnected. */
    @Volatile
    var onDisconnect: () -> Unit = {}
    private val pendingChunks = ArrayDeque<ByteArray>()
    private var pendingByteCount = 0
    private var output: ServletOutputStream? = null
    private val streamFraming = StreamFraming(context.req())
    private var hasUnflushedBytes = false
    private var isEnding = false
    private var isWritable = false

    init {
        context.res().setHeader(REQUEST_ID_HEADER, requestId)
    }

    /** True once the request's body was read; the server may read from the connection until then. */
    @Volatile
    var isBodyRead: Boolean = false

    /** Number of bytes that the caller's connection has not accepted yet. */
    val pendingBytes: Int @Synchronized get() = pendingByteCount

    /**
     * Sets the status and header fields; has no effect after the first [write].
     *
     * Unless [headers] declare the length of the body, its end is framed by [StreamFraming].
     */
    @Synchronized
    fun setHead(status: Int, headers: List<Pair<String, String>>) {
        val isLengthKnown = headers.any { (name, _) -> name == CONTENT_LENGTH } || status == HttpStatus.NO_CONTENT
        val framing = if (isLengthKnown) emptyList() else streamFraming.start()
        context.res().status = status
        // The next request of a kept connection would be refused.
        val isNextAhead = isBodyRead && ServletContextRequest.getServletContextRequest(context.req()).isNextRequestAhead
        val close = listOfNotNull(CLOSE.takeIf { isLeaving() && !isNextAhead })
        (headers + framing + close).forEach { (name, value) -> context.res().setHeader(name, value) }
    }

    fun write(content: ByteArray) {
        synchronized(this) {
            if (completion.isDone || isEnding) return
            pendingChunks.addLast(content)
            pendingByteCount += content.size
        }
        listenOrWrite()
    }

    /** Ends the response after the pending bytes. */
    fun end() {
        synchronized(this) { isEnding = true }
        listenOrWrite()
    }

    /** Discards the bytes that the caller's connection has not accepted yet. */
    @Synchronized
    fun discardPending() {
        pendingChunks.clear()
        pendingByteCount = 0
    }

    override fun onWritePossible() {
        synchronized(this) { isWritable = true }
        writePending(notify = true)
    }

    override fun onError(failure: Throwable) {
        if (completion.complete(null)) onDisconnect()
    }

    private fun listenOrWrite() {
        val isFirstWrite = synchronized(this) {
            val hasNoOutput = output == null
            if (hasNoOutput) output = context.res().outputStream
            hasNoOutput
        }
        if (isFirstWrite) output?.setWriteListener(this) else writePending(notify = false)
    }

    private fun writePending(notify: Boolean) {
        try {
            val state = drain()
            if (state == DrainState.ENDED) completion.complete(null)
            if (state == DrainState.EMPTY && notify) onDrained()
        } catch (failure: IOException) {
            onError(failure)
        }
    }

    // Before the first onWritePossible, the stream is not in non-blocking mode and must not be written to.
    @Synchronized
    private fun drain(): DrainState {
        val stream = output
        if (stream == null || !isWritable || completion.isDone) return DrainState.WAITING
        while (stream.isReady && writeOrFlush(stream)) continue
        return when {
            pendingChunks.isNotEmpty() -> DrainState.WAITING
            isEnding && stream.isReady -> DrainState.ENDED.also { streamFraming.complete() }
            else -> DrainState.EMPTY
        }
    }

    // Returns false if there was nothing to write or flush.
    private fun writeOrFlush(stream: ServletOutputStream): Boolean {
        val chunk = pendingChunks.removeFirstOrNull()
        val mustFlush = chunk == null && hasUnflushedBytes && (!isEnding || streamFraming.isEndedByConnection)
        if (chunk != null) {
            stream.write(chunk)
            pendingByteCount -= chunk.size
        } else if (mustFlush) {
            stream.flush()
        }
        hasUnflushedBytes = chunk != null
        return chunk != null || mustFlush
    }

    private enum class DrainState { WAITING, EMPTY, ENDED }
}

/**
 * Sends a complete response with its length, so that a caller whose connection ends early knows that the body is cut.
 */
internal fun CallerResponse.sendComplete(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
    // A response with status 204 has no body and must not have a length.
    val length = (CONTENT_LENGTH to "${body.size}").takeIf { status != HttpStatus.NO_CONTENT }
    setHead(status, headers + listOfNotNull(length))
    write(body)
    end()
}

/** Sends a complete JSON response. */
internal fun CallerResponse.sendJson(status: Int, json: ByteArray, headers: List<Pair<String, String>> = emptyList()) =
    sendComplete(status, listOf("content-type" to "application/json") + headers, json)

/** Sends a complete error response. */
internal fun CallerResponse.sendProblem(problem: Problem) = sendJson(
    problem.status,
    problem.toJson(),
    listOfNotNull(problem.retryAfterSeconds?.let { "retry-after" to "$it" }),
)

private const val CONTENT_LENGTH = "content-length"
private val CLOSE = "connection" to "close"
