package org.celerywalk.engine

import org.celerywalk.http.parseJson
import java.nio.ByteBuffer
import java.util.concurrent.Flow
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/**
 * Delivers the events of one engine stream to its listener, one at a time.
 *
 * The next buffer is requested only after all received events have been delivered, so that a paused stream stops
 * reading from its connection (backpressure).
 */
internal class EngineStream(
    private val listener: EngineListener,
    private val peer: String,
    private val nanoTime: () -> Long,
    private val onEnd: (EngineStream) -> Unit,
) : Flow.Subscriber<ByteBuffer> {
    private val parser = EventStreamParser(MAX_EVENT_BYTES)
    private val pendingEvents = ArrayDeque<ServerSentEvent>()
    private val receivedBuffer = AtomicReference<ByteBuffer?>()
    private val failure = AtomicReference<EngineError?>()
    private val subscription = AtomicReference<Flow.Subscription?>()

    // Number of unhandled calls of deliverPending; only the thread that raises it from 0 delivers events.
    private val deliveryRequests = AtomicInteger()

    @Volatile
    private var isBufferRequested = false

    @Volatile
    private var lastInputNanos = nanoTime()

    @Volatile
    private var hasEnded = false

    /** While true, no event is delivered and no further buffer is requested. */
    @Volatile
    var isPaused = false
        set(value) {
            field = value
            if (!value) {
                lastInputNanos = nanoTime()
                deliverPending()
            }
        }

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription.set(subscription)
        if (hasEnded) subscription.cancel() else deliverPending()
    }

    override fun onNext(item: ByteBuffer) {
        lastInputNanos = nanoTime()
        receivedBuffer.set(item)
        isBufferRequested = false
        deliverPending()
    }

    override fun onError(throwable: Throwable) =
        fail("the stream was cut: ${messageOf(throwable)}", isNotExecuted = false)

    override fun onComplete() = fail("the stream ended without a terminal event", isNotExecuted = false)

    /** Ends the stream with an error, after the events that have arrived before. Only the first failure counts. */
    fun fail(message: String, isNotExecuted: Boolean) {
        failure.compareAndSet(null, EngineError(STEP, peer, message, isNotExecuted))
        deliverPending()
    }

    /** Fails the stream if it has waited for input for more than [idleTimeoutNanos]. */
    fun failIfIdle(idleTimeoutNanos: Long) {
        val isWaiting = isBufferRequested || subscription.get() == null
        if (!hasEnded && isWaiting && nanoTime() - lastInputNanos > idleTimeoutNanos) {
            fail("no event for $idleTimeoutNanos ns", isNotExecuted = false)
            subscription.get()?.cancel()
        }
    }

    /** Ends the stream; the listener gets no further event. */
    fun end() {
        hasEnded = true
        subscription.get()?.cancel()
        onEnd(this)
    }

    private fun deliverPending() {
        if (deliveryRequests.getAndIncrement() != 0) return
        var handledRequests: Int
        do {
            handledRequests = deliveryRequests.get()
            deliverEvents()
        } while (deliveryRequests.addAndGet(-handledRequests) != 0)
    }

    private fun deliverEvents() {
        receivedBuffer.getAndSet(null)?.let { parser.feed(it).fold(::failMalformed, pendingEvents::addAll) }
        while (!hasEnded && !isPaused && pendingEvents.isNotEmpty()) {
            val event = pendingEvents.removeFirst()
            parseJson(event.data.toByteArray()) { listener.dispatch(event.name, it, beforeEnd = ::end) }
                .onLeft(::failMalformed)
        }
        if (hasEnded || isPaused) return
        val error = failure.get()
        val source = subscription.get()
        if (error != null) {
            end()
            listener.onFailed(error)
        } else if (source != null && !isBufferRequested) {
            isBufferRequested = true
            source.request(1)
        }
    }

    private fun failMalformed(message: String) {
        failure.compareAndSet(null, EngineError(STEP, peer, "malformed event: $message", isNotExecuted = false))
        pendingEvents.clear()
    }

    private companion object {
        const val STEP = "generate"
        const val MAX_EVENT_BYTES = 1024 * 1024
    }
}
