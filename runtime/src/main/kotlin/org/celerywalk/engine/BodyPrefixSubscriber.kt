package org.celerywalk.engine

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Flow

/** Collects the first [maxBytes] of a body, and closes the connection if there are more. */
internal class BodyPrefixSubscriber(private val maxBytes: Int) : Flow.Subscriber<ByteBuffer> {
    private val content = ByteArrayOutputStream()
    private var subscription: Flow.Subscription? = null

    /** Completes with the collected bytes, or with the error that ended the body early. */
    val result: CompletableFuture<ByteArray> = CompletableFuture()

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(item: ByteBuffer) {
        val bytes = ByteArray(minOf(item.remaining(), maxBytes - content.size()))
        item.get(bytes)
        content.write(bytes)
        if (content.size() < maxBytes) {
            subscription?.request(1)
        } else {
            result.complete(content.toByteArray())
            subscription?.cancel()
        }
    }

    override fun onError(throwable: Throwable) {
        result.completeExceptionally(throwable)
    }

    override fun onComplete() {
        result.complete(content.toByteArray())
    }
}
