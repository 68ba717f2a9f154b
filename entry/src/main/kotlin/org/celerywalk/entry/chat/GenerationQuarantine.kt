package org.celerywalk.entry.chat

import org.celerywalk.cache.PieceNames
import org.celerywalk.error.Execution
import org.celerywalk.quarantine.CrashAges
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.quarantine.QuarantineDecision
import org.celerywalk.stream.StreamEvent
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Applies the [quarantine] of prompt parts to the attempts of one generation. Not thread-safe. */
internal class GenerationQuarantine(
    private val generation: Generation,
    private val quarantine: PromptPartQuarantine,
    private val observer: RelayObserver,
    private val timeSource: TimeSource.WithComparableMarks,
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
    private var sentAt = timeSource.markNow()

    /** Returns the refusal of the next attempt if a part is in quarantine, or null if the attempt may be sent. */
    fun refusal(): StreamEvent.Refused? {
        val decision = quarantine.check(parts) { true }
        isOnTrial = decision is QuarantineDecision.Trial
        isAnswerRecorded = false
        sentAt = timeSource.markNow()
        return (decision as? QuarantineDecision.Refused)?.let {
            val message = "engines crashed under requests that begin like this one"
            StreamEvent.Refused("prompt_part_quarantined", message, Execution.NOT_RUN, it.retryAfter)
        }
    }

    /** Records that a token of the answer has arrived from [target], or its regular end. */
    fun recordAnswer(target: SelectedReplica) {
        if (isAnswerRecorded) return
        isAnswerRecorded = true
        quarantine.recordAnswer(target.engineStart, parts, sentAt.elapsedNow())
    }

    /** Records that the attempt at [target] ended with [event]. */
    fun recordRefusal(target: SelectedReplica, event: StreamEvent.Refused) {
        if (event.execution == Execution.NOT_RUN) withdrawTrial()
        if (event.code != StreamEvent.Refused.ENGINE_CRASHED) return
        // The parts of an answer that has just begun are known from recordAnswer.
        val accusedParts = if (isAnswerRecorded) emptyList() else parts
        // The agent would report an engine that it can't reach as one that has not run the request.
        val ages = CrashAges(sinceLoss = Duration.ZERO, sinceAlive = sentAt.elapsedNow())
        observer.onEngineCrash(
            generation,
            target,
            quarantine.recordCrash(target.engineStart, accusedParts, ages).size,
        )
    }

    private val SelectedReplica.engineStart: String
        get() = "${replica.endpoint}/${replica.replica}/${replica.engineIncarnation}"

    /** Allows another request to be the trial, because this one has not reached an engine. */
    fun withdrawTrial() {
        if (isOnTrial) quarantine.withdrawTrial(parts)
        isOnTrial = false
    }
}
