package org.celerywalk.entry.chat

import org.celerywalk.cache.PieceNames
import org.celerywalk.error.Execution
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.quarantine.QuarantineDecision
import org.celerywalk.stream.StreamEvent

/** Applies the [quarantine] of prompt parts to the attempts of one generation. Not thread-safe. */
internal class GenerationQuarantine(
    private val generation: Generation,
    private val quarantine: PromptPartQuarantine,
    private val observer: RelayObserver,
) {
    // The names don't depend on the weights, so that the evidence outlives a change of weights. The last one stands for
    // the whole prompt, which callers repeat.
    private val parts by lazy {
        val model = generation.model
        PieceNames(generation.caller.clientAccount, model.name, weights = "", model.pieceTokens)
            .forWholePrompt(generation.request.prompt)
            .map(java.lang.Long::toHexString)
    }
    private var isOnTrial = false
    private var isAnswerRecorded = false

    /** Returns the refusal of the next attempt if a part is in quarantine, or null if the attempt may be sent. */
    fun refusal(): StreamEvent.Refused? {
        val decision = quarantine.check(parts) { true }
        isOnTrial = decision is QuarantineDecision.Trial
        isAnswerRecorded = false
        return (decision as? QuarantineDecision.Refused)?.let {
            val message = "engines crashed under requests that begin like this one"
            StreamEvent.Refused("prompt_part_quarantined", message, Execution.NOT_RUN, it.retryAfter)
        }
    }

    /** Records that a token of the answer has arrived, or its regular end. */
    fun recordAnswer() {
        if (isAnswerRecorded) return
        isAnswerRecorded = true
        quarantine.recordAnswer(parts)
    }

    /** Records that the attempt at [target] ended with [event]; [hasText] is true if any attempt has sent a token. */
    fun recordRefusal(target: SelectedReplica, event: StreamEvent.Refused, hasText: Boolean) {
        if (event.execution == Execution.NOT_RUN) withdrawTrial()
        if (event.code != StreamEvent.Refused.ENGINE_CRASHED || hasText) return
        val replica = target.replica
        val engineStart = "${replica.endpoint}/${replica.replica}/${replica.engineIncarnation}"
        observer.onEngineCrash(generation, target, quarantine.recordCrash(engineStart, parts).size)
    }

    /** Allows another request to be the trial, because this one has not reached an engine. */
    fun withdrawTrial() {
        if (isOnTrial) quarantine.withdrawTrial(parts)
        isOnTrial = false
    }
}
