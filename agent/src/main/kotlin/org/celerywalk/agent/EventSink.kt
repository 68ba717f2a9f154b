package org.celerywalk.agent

import io.grpc.stub.ServerCallStreamObserver
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateTokens

/**
 * Sends the events of one attempt to its gRPC call without blocking the engine's thread.
 *
 * Applies flow control: while the call is not ready for writes, tokens are merged into one pending event. The pending
 * text is therefore no longer than the answer, and a caller that exceeds [MAX_PENDING_CHARS] is reported as too slow.
 */
internal class EventSink(
    private val attemptId: String,
    private val observer: ServerCallStreamObserver<GenerateEvent>,
    private val isStopping: () -> Boolean,
) {
    private val pendingText = StringBuilder()
    private var pendingOffset = 0
    private var pendingTokenCount = 0
    private var lastEvent: GenerateEvent.Builder? = null
    private var isClosed = false

    init {
        observer.setOnReadyHandler(::sendPending)
    }

    /** Sends the event that precedes all tokens. */
    @Synchronized
    fun sendStarted(event: GenerateEvent.Builder) {
        if (!isClosed) send(event)
    }

    /** Sends tokens or buffers them until the call is ready; returns false if the buffer exceeds its limit. */
    @Synchronized
    fun sendTokens(offset: Int, count: Int, text: String): Boolean {
        if (pendingTokenCount == 0) pendingOffset = offset
        pendingTokenCount += count
        pendingText.append(text)
        sendPending()
        return pendingText.length <= MAX_PENDING_CHARS
    }

    /** Sends [event] after all pending tokens and completes the call. */
    @Synchronized
    fun finish(event: GenerateEvent.Builder) {
        lastEvent = event
        sendPending()
    }

    /** Drops pending and further events; called when the caller has cancelled the call. */
    @Synchronized
    fun discard() {
        isClosed = true
    }

    @Synchronized
    private fun sendPending() {
        if (isClosed || !observer.isReady) return
        if (pendingTokenCount > 0) {
            val tokens = GenerateTokens.newBuilder()
                .setOffset(pendingOffset).setCount(pendingTokenCount).setText(pendingText.toString())
            send(GenerateEvent.newBuilder().setTokens(tokens))
            pendingText.setLength(0)
            pendingTokenCount = 0
        }
        lastEvent?.let {
            isClosed = true
            send(it)
            observer.onCompleted()
        }
    }

    private fun send(event: GenerateEvent.Builder) =
        observer.onNext(event.setAttemptId(attemptId).setAgentStopping(isStopping()).build())

    private companion object {
        // A few times the usual maximum answer length; many streams of this size fit in the agent's 128 MB of memory.
        const val MAX_PENDING_CHARS = 256 * 1024
    }
}
