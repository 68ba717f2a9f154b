package org.celerywalk.http.server

import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.Callback

/**
 * Ends a request once the rest of its body, which nobody needs, has arrived and is discarded.
 *
 * A connection that closes while its caller still sends is reset, which may destroy a response that the caller has not
 * read yet (RFC 9112, section 9.6). Occupies no thread while it waits for the body.
 */
public class BodyDrain(private val request: Request, callback: Callback) : Callback.Nested(callback) {
    private var discardedBytes = 0L

    /** Discards what has arrived of the rest of the body; returns true if no more of it is due. */
    public fun discardArrived(): Boolean = readUntilEnd() != null

    override fun succeeded() {
        val end = readUntilEnd()
        when {
            end == null -> request.demand(::succeeded)
            Content.Chunk.isFailure(end) -> failed(end.failure)
            else -> super.succeeded()
        }
    }

    // Returns the last chunk, or null if more of the body is due.
    private fun readUntilEnd(): Content.Chunk? {
        var chunk: Content.Chunk? = request.read()
        while (chunk != null && !isEnd(chunk)) chunk = request.read()
        return chunk
    }

    private fun isEnd(chunk: Content.Chunk): Boolean {
        discardedBytes += chunk.remaining()
        chunk.release()
        return chunk.isLast || Content.Chunk.isFailure(chunk) || discardedBytes > MAX_DISCARDED_BYTES
    }

    private companion object {
        // Far above the bodies that configurations allow; a caller that sends more is reset.
        const val MAX_DISCARDED_BYTES = 16L * 1024 * 1024
    }
}
