package org.celerywalk.agent

import org.celerywalk.cache.PieceNames
import org.celerywalk.engine.EngineCall
import org.celerywalk.engine.EngineError
import org.celerywalk.engine.EngineListener
import org.celerywalk.engine.EngineRequest
import org.celerywalk.engine.EngineStatus
import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateFinished
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.protocol.GenerateStarted
import org.celerywalk.stream.StreamEvent
import java.util.concurrent.CompletableFuture

/**
 * Runs one attempt on one replica and relays the engine's events to the caller.
 *
 * @property recheck repeats the admission check when the attempt leaves the queue; its result is final.
 * @property isPlannedEnd returns true while the agent or its endpoint is being stopped.
 * @property onEnd called once, when the attempt has ended.
 */
internal class Generation(
    private val request: GenerateRequest,
    private val replica: Replica,
    private val sink: EventSink,
    private val recheck: () -> Refusal?,
    private val isPlannedEnd: () -> Boolean,
    private val onEnd: (Generation) -> Unit,
) : EngineListener {
    private var engineCall: EngineCall? = null
    private var statusAtSend: EngineStatus? = null
    private var nextTokenOffset = request.resumeOffset
    private var isDispatched = false
    private var hasStarted = false
    private var hasEnded = false
    private var pendingPrefillTokens = 0

    /** Sends the attempt to its engine. The replica must count the attempt as running already. */
    fun start() {
        val refusal = recheck()
        val canSend = synchronized(this) {
            isDispatched = !hasEnded
            isDispatched && refusal == null
        }
        when {
            canSend -> send()
            refusal != null && isDispatched -> fail(refusal)
            // The caller cancelled while the attempt was queued.
            else -> replica.load.removeRunning()
        }
    }

    private fun send() {
        statusAtSend = replica.status
        pendingPrefillTokens = request.estimatePromptTokens()
        replica.load.addPrefillTokens(pendingPrefillTokens)
        val startedCall = replica.engine.generate(request.toEngineRequest(), this)
        val isCancelled = synchronized(this) {
            engineCall = startedCall
            hasEnded
        }
        if (isCancelled) startedCall.cancel()
    }

    /** Cancels the engine's generation; called when the caller has cancelled its call. */
    fun cancel() {
        sink.discard()
        end()
        synchronized(this) { engineCall }?.cancel()
    }

    override fun onStarted(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int) {
        if (weights != request.weights) {
            val message = "expected weights ${request.weights}, but the engine runs $weights"
            return fail(Refusal("weights_changed", message, Execution.UNKNOWN))
        }
        synchronized(this) { hasStarted = true }
        replica.cache.recordAnswer(incarnation, request.pieceHashesList, cachedTokens, promptTokens)
        val event = GenerateStarted.newBuilder()
            .setReplica(replica.name)
            .setWeights(weights)
            .setEngineIncarnation(incarnation)
            .setPromptTokens(promptTokens)
            .setCachedTokens(cachedTokens)
            .setSummary(replica.summary(isAccepting = true))
        sink.sendStarted(GenerateEvent.newBuilder().setStarted(event))
    }

    override fun onTokens(offset: Int, count: Int, text: String) {
        releasePrefillTokens()
        if (synchronized(this) { hasEnded }) return
        when {
            offset != nextTokenOffset -> fail(
                Refusal("token_gap", "received tokens from offset $offset, expected $nextTokenOffset", Execution.RAN),
            )
            sink.sendTokens(offset, count, text) -> nextTokenOffset += count
            else -> fail(Refusal("slow_caller", "the text buffer of the caller is full", Execution.RAN))
        }
    }

    override fun onFinished(totalTokens: Int, reason: String) {
        if (!end()) return
        val event = GenerateFinished.newBuilder()
            .setTotalTokens(totalTokens)
            .setFinishReason(reason)
            .setSummary(replica.summary(isAccepting = true))
        sink.finish(GenerateEvent.newBuilder().setFinished(event))
    }

    override fun onFailed(error: EngineError) {
        val execution = when {
            synchronized(this) { hasStarted } -> Execution.RAN
            error.isNotExecuted -> Execution.NOT_RUN
            else -> Execution.UNKNOWN
        }
        val mayBeCrash = !error.isNotExecuted && !isPlannedEnd()
        val crashCheck =
            if (mayBeCrash) replica.checkCrash(statusAtSend) else CompletableFuture.completedFuture(false)
        crashCheck.thenAccept { hasCrashed ->
            val code = if (hasCrashed) StreamEvent.Refused.ENGINE_CRASHED else "engine_failed"
            fail(Refusal(code, error.message, execution))
        }
    }

    private fun fail(refusal: Refusal) {
        if (!end()) return
        synchronized(this) { engineCall }?.cancel()
        sink.finish(refusal.toEvent(replica.summary(isAccepting = true)))
    }

    private fun releasePrefillTokens() {
        val tokens = synchronized(this) { pendingPrefillTokens.also { pendingPrefillTokens = 0 } }
        replica.load.removePrefillTokens(tokens)
    }

    /** Marks the attempt as ended and releases its resources; returns true for the first call only. */
    private fun end(): Boolean {
        val isFirstCall = synchronized(this) { !hasEnded.also { hasEnded = true } }
        if (isFirstCall) {
            releasePrefillTokens()
            if (synchronized(this) { isDispatched }) {
                replica.load.removeRunning()
            } else {
                replica.load.removeQueued(request.clientAccount, request.attemptId)
            }
            onEnd(this)
        }
        return isFirstCall
    }
}

/** Estimates the prompt's length in tokens from its length in bytes, rounded up. */
internal fun GenerateRequest.estimatePromptTokens(): Int =
    (promptBytes.size() + PieceNames.BYTES_PER_TOKEN - 1) / PieceNames.BYTES_PER_TOKEN

private fun GenerateRequest.toEngineRequest() = EngineRequest(
    attemptId = attemptId,
    prompt = prompt,
    cacheScope = clientAccount,
    weights = weights,
    pieceNames = pieceHashesList,
    maxTokens = maxTokens,
    priority = priority,
    resumeOffset = resumeOffset,
    resumeText = resumeText,
)
