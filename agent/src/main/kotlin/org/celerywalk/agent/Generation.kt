package org.celerywalk.agent

import org.celerywalk.cache.PieceNames
import org.celerywalk.engine.EngineCall
import org.celerywalk.engine.EngineError
import org.celerywalk.engine.EngineListener
import org.celerywalk.engine.EngineRequest
import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateFinished
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.protocol.GenerateStarted

/**
 * Runs one attempt on one replica and relays the engine's events.
 *
 * @property refusal makes the final decision when the attempt's turn comes.
 * @property ended called once, when the attempt is over.
 */
internal class Generation(
    private val request: GenerateRequest,
    private val replica: Replica,
    private val sink: EventSink,
    private val refusal: () -> Refusal?,
    private val ended: (Generation) -> Unit,
) : EngineListener {
    private var call: EngineCall? = null
    private var next = request.resumeOffset
    private var dispatched = false
    private var started = false
    private var over = false
    private var prefilling = 0

    /** Sends the attempt to its engine; its replica counts it as running already. */
    fun start() {
        val late = refusal()
        val goes = synchronized(this) {
            dispatched = !over
            dispatched && late == null
        }
        when {
            goes -> send()
            late != null && dispatched -> fail(late)
            // The caller went while the attempt waited.
            else -> replica.load.ended()
        }
    }

    private fun send() {
        prefilling = request.promptTokens()
        replica.load.sent(prefilling)
        val begun = replica.engine.generate(request.toEngine(), this)
        val cancel = synchronized(this) {
            call = begun
            over
        }
        if (cancel) begun.cancel()
    }

    /** Stops the engine's work because the caller has gone. */
    fun cancel() {
        sink.cancelled()
        close()
        synchronized(this) { call }?.cancel()
    }

    override fun started(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int) {
        if (weights != request.weights) {
            val message = "given weights ${request.weights}, the engine runs $weights"
            return fail(Refusal("weights_changed", message, Execution.UNKNOWN))
        }
        synchronized(this) { started = true }
        replica.cache.answered(incarnation, request.pieceHashesList, cachedTokens, promptTokens)
        val event = GenerateStarted.newBuilder()
            .setReplica(replica.name)
            .setWeights(weights)
            .setEngineIncarnation(incarnation)
            .setPromptTokens(promptTokens)
            .setCachedTokens(cachedTokens)
            .setSummary(replica.summary(accepting = true))
        sink.first(GenerateEvent.newBuilder().setStarted(event))
    }

    override fun tokens(offset: Int, count: Int, text: String) {
        endPrefill()
        if (synchronized(this) { over }) return
        when {
            offset != next -> fail(Refusal("token_gap", "given tokens from $offset, expected $next", Execution.RAN))
            sink.tokens(offset, count, text) -> next += count
            else -> fail(Refusal("slow_caller", "more text waits for the caller than is kept", Execution.RAN))
        }
    }

    override fun finished(totalTokens: Int, reason: String) {
        if (!close()) return
        val event = GenerateFinished.newBuilder()
            .setTotalTokens(totalTokens)
            .setFinishReason(reason)
            .setSummary(replica.summary(accepting = true))
        sink.end(GenerateEvent.newBuilder().setFinished(event))
    }

    override fun failed(error: EngineError) {
        val execution = when {
            synchronized(this) { started } -> Execution.RAN
            error.isNotExecuted -> Execution.NOT_RUN
            else -> Execution.UNKNOWN
        }
        fail(Refusal("engine_failed", error.message, execution))
    }

    private fun fail(refusal: Refusal) {
        if (!close()) return
        synchronized(this) { call }?.cancel()
        sink.end(refusal.toEvent(replica.summary(accepting = true)))
    }

    private fun endPrefill() {
        val tokens = synchronized(this) { prefilling.also { prefilling = 0 } }
        replica.load.prefilled(tokens)
    }

    /** Returns true for the first call only. */
    private fun close(): Boolean {
        val first = synchronized(this) { !over.also { over = true } }
        if (first) {
            endPrefill()
            if (synchronized(this) { dispatched }) {
                replica.load.ended()
            } else {
                replica.load.withdraw(request.clientAccount, request.attemptId)
            }
            ended(this)
        }
        return first
    }
}

internal fun GenerateRequest.promptTokens(): Int =
    (promptBytes.size() + PieceNames.BYTES_PER_TOKEN - 1) / PieceNames.BYTES_PER_TOKEN

private fun GenerateRequest.toEngine() = EngineRequest(
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
