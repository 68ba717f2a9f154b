package org.celerywalk.engine

import org.eclipse.jetty.client.Request
import org.eclipse.jetty.io.Content
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.Flow
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Body of the response to [request], which is read only as fast as its subscriber requests buffers.
 *
 * Cancelling the subscription closes the connection.
 */
internal class ResponseBody(private val request: Request, private val source: Content.Source) :
    Flow.Publisher<ByteBuffer> {
    override fun subscribe(subscriber: Flow.Subscriber<in ByteBuffer>) {
        subscriber.onSubscribe(Reader(subscriber))
    }

    private inner class Reader(private val subscriber: Flow.Subscriber<in ByteBuffer>) : Flow.Subscription {
        private val hasEnded = AtomicBoolean()

        /** Requests one buffer, whatever [n]; the next may be requested once it has been received. */
        override fun request(n: Long) {
            if (!hasEnded.get()) source.demand(::read)
        }

        override fun cancel() {
            if (!hasEnded.getAndSet(true)) request.abort(IOException("the response is no longer needed"))
        }

        private fun read() {
            val chunk = source.read()
            when {
                chunk == null -> source.demand(::read)
                Content.Chunk.isFailure(chunk) -> end { subscriber.onError(chunk.failure) }
                else -> deliver(chunk)
            }
        }

        // The buffer of the chunk is reused once the chunk is released, so that its bytes are copied.
        private fun deliver(chunk: Content.Chunk) {
            val bytes = ByteArray(chunk.remaining())
            chunk.get(bytes, 0, bytes.size)
            val isLast = chunk.isLast
            chunk.release()
            when {
                isLast -> end {
                    if (bytes.isNotEmpty()) subscriber.onNext(ByteBuffer.wrap(bytes))
                    subscriber.onComplete()
                }
                bytes.isEmpty() -> source.demand(::read)
                !hasEnded.get() -> subscriber.onNext(ByteBuffer.wrap(bytes))
            }
        }

        private fun end(notify: () -> Unit) {
            if (!hasEnded.getAndSet(true)) notify()
        }
    }
}
