package org.celerywalk.engine

import java.io.ByteArrayOutputStream
import java.net.http.HttpResponse.BodySubscriber
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow

/** Collects the first [maxBytes] of a body, and closes the connection if there are more. */
internal class BodyPrefixSubscriber(private val maxBytes: Int) : BodySubscriber<ByteArray> {
    private val content = ByteArrayOutputStream()
    private val result = CompletableFuture<ByteArray>()
    private var subscription: Flow.Subscription? = null

    override fun getBody(): CompletionStage<ByteArray> = result

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(item: List<ByteBuffer>) {
        item.forEach { buffer ->
            val bytes = ByteArray(minOf(buffer.remaining(), maxBytes - content.size()))
            buffer.get(bytes)
            content.write(bytes)
        }
        if (content.size() < maxBytes) {
            subscription?.request(1)
        } else {
            subscription?.cancel()
            result.complete(content.toByteArray())
        }
    }

    override fun onError(throwable: Throwable) {
        result.completeExceptionally(throwable)
    }

    override fun onComplete() {
        result.complete(content.toByteArray())
    }
}
