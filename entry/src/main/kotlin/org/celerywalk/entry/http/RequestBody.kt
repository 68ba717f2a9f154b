package org.celerywalk.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.javalin.http.Context
import jakarta.servlet.ReadListener
import jakarta.servlet.ServletInputStream
import org.celerywalk.limit.MemoryBudget
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Request body that counts against the memory budget until [release]. */
internal class RequestBody(bytes: ByteArray, private val budget: MemoryBudget) {
    private val sizeBytes = bytes.size
    private var content: ByteArray? = bytes

    /**
     * Returns the bytes; may be called only once.
     *
     * An open stream keeps this object reachable through its listeners, but does not need the bytes.
     */
    fun takeBytes(): ByteArray = checkNotNull(content).also { content = null }

    fun release() = budget.releaseBytes(sizeBytes)
}

/**
 * Reads request bodies without occupying a thread, so that slow senders do not exhaust the server's threads.
 *
 * @param maxBytes maximum size of a body.
 */
internal class BodyReader(private val maxBytes: Int, private val budget: MemoryBudget) {
    /** Reads the body of a request whose asynchronous processing has begun. */
    fun read(context: Context): CompletableFuture<Either<Problem, RequestBody>> {
        if (context.req().contentLengthLong > maxBytes) return CompletableFuture.completedFuture(tooLarge().left())
        val listener = BodyListener(context.req().inputStream)
        context.req().inputStream.setReadListener(listener)
        return listener.result
            .completeOnTimeout(tooSlow().left(), READ_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .whenComplete { result, _ -> if (result == null || result.isLeft()) listener.discard() }
    }

    private inner class BodyListener(private val input: ServletInputStream) : ReadListener {
        val result = CompletableFuture<Either<Problem, RequestBody>>()

        // Null after the end of the body, because the server keeps the listener until the request ends.
        private var content: ByteArrayOutputStream? = ByteArrayOutputStream()

        override fun onDataAvailable() {
            val chunk = ByteArray(CHUNK_BYTES)
            while (!result.isDone && input.isReady) {
                val count = input.read(chunk)
                if (count < 0) break
                append(chunk, count)
            }
        }

        override fun onAllDataRead() {
            val bytes = synchronized(this) { content?.toByteArray() }
            if (bytes != null && result.complete(RequestBody(bytes, budget).right())) {
                synchronized(this) { content = null }
            }
        }

        override fun onError(failure: Throwable) {
            result.complete(invalidRequest("incomplete_body", "the body ended before its declared length").left())
        }

        @Synchronized
        fun discard() {
            content?.let { budget.releaseBytes(it.size()) }
            content = null
        }

        @Synchronized
        private fun append(chunk: ByteArray, count: Int) {
            val buffer = content
            when {
                buffer == null -> Unit
                buffer.size() + count > maxBytes -> result.complete(tooLarge().left())
                !budget.tryReserveBytes(count) -> result.complete(
                    unavailable("body_memory", "the memory limit for request bodies is reached", 1.seconds).left(),
                )
                else -> buffer.write(chunk, 0, count)
            }
        }
    }

    private fun tooLarge() =
        invalidRequest("body_too_large", "the body is larger than $maxBytes bytes", HttpStatus.CONTENT_TOO_LARGE)

    private fun tooSlow() =
        invalidRequest("body_too_slow", "the body did not arrive within $READ_TIMEOUT", HttpStatus.REQUEST_TIMEOUT)

    private companion object {
        const val CHUNK_BYTES = 8192
        val READ_TIMEOUT = 30.seconds
    }
}
