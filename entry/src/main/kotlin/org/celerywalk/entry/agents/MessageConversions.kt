package org.celerywalk.entry.agents

import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRefused
import org.celerywalk.stream.StreamEvent
import kotlin.time.Duration.Companion.milliseconds
import org.celerywalk.protocol.Execution as ExecutionMessage
import org.celerywalk.protocol.ReplicaSummary as ReplicaSummaryMessage

internal fun ReplicaSummary.toMessage(): ReplicaSummaryMessage = ReplicaSummaryMessage.newBuilder()
    .setReplica(replica)
    .setModel(model)
    .setWeights(weights)
    .setEngineIncarnation(engineIncarnation)
    .setAccepting(accepting)
    .setQueuedTokens(queuedTokens)
    .setRunning(running)
    .setCapacity(capacity)
    .build()

internal fun ReplicaSummaryMessage.toSummary(endpoint: String) = ReplicaSummary(
    endpoint = endpoint,
    replica = replica,
    model = model,
    weights = weights,
    engineIncarnation = engineIncarnation,
    accepting = accepting,
    queuedTokens = queuedTokens,
    running = running,
    capacity = capacity,
    recentPieces = recentPiecesList.takeLast(ReplicaSummary.MAX_RECENT_PIECES),
    prefillTokensPerSecond = prefillTokensPerSecond,
)

/** Converts an execution state; unset and unrecognized values become [Execution.UNKNOWN]. */
internal fun ExecutionMessage.toExecution(): Execution = when (this) {
    ExecutionMessage.NOT_RUN -> Execution.NOT_RUN
    ExecutionMessage.RAN -> Execution.RAN
    else -> Execution.UNKNOWN
}

/** Converts an event; returns null for an event type that this version does not know. */
internal fun GenerateEvent.toStreamEvent(): StreamEvent? = when (eventCase) {
    GenerateEvent.EventCase.STARTED ->
        StreamEvent.Started(started.weights, started.promptTokens, started.cachedTokens)
    GenerateEvent.EventCase.TOKENS -> StreamEvent.Tokens(tokens.offset, tokens.count, tokens.text)
    GenerateEvent.EventCase.FINISHED -> StreamEvent.Finished(finished.totalTokens, finished.finishReason)
    GenerateEvent.EventCase.REFUSED -> refused.toStreamEvent()
    else -> null
}

/** Returns the replica summary in an event, or null if it has none. */
internal fun GenerateEvent.summaryOrNull(): ReplicaSummaryMessage? = when {
    hasStarted() && started.hasSummary() -> started.summary
    hasFinished() && finished.hasSummary() -> finished.summary
    hasRefused() && refused.hasSummary() -> refused.summary
    else -> null
}

private fun GenerateRefused.toStreamEvent() = StreamEvent.Refused(
    code = code,
    message = message,
    execution = execution.toExecution(),
    retryAfter = retryAfterMillis.takeIf { it > 0 }?.milliseconds,
    redirect = redirectEndpoint.ifEmpty { null },
)
