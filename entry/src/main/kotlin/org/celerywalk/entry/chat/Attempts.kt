package org.celerywalk.entry.chat

import org.celerywalk.entry.http.newRequestId
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.stream.AnswerStream
import org.celerywalk.stream.AttemptStart
import org.celerywalk.stream.StreamEvent

/** Makes the attempts of one generation, one after the other and each at another replica. */
internal class Attempts(
    private val generation: Generation,
    private val choice: ReplicaChoice,
    private val observer: RelayObserver,
) {
    private val tried = mutableSetOf<Pair<String, String>>()

    /** The attempt that is under way, null if there is none. */
    var current: Attempt? = null
        private set

    /** Begins an attempt that must not start after [deadlineMillis]; returns false if no replica is left. */
    fun open(
        stream: AnswerStream,
        redirect: String?,
        deadlineMillis: Long,
        onEvent: (Attempt, GenerateEvent) -> Unit,
        onLost: (Attempt, StreamEvent.Refused) -> Unit,
    ): Boolean {
        val chosen = choice.take(generation, stream.weights, tried, redirect) ?: return false
        val id = newRequestId()
        val start = stream.beginAttempt(id, chosen.replica.weights)
        tried += chosen.replica.endpoint to chosen.replica.replica
        choice.sent(chosen)
        observer.attempted(generation, chosen, start.resumeOffset)
        current = Attempt(id, chosen, onEvent, onLost).also { it.start(request(id, chosen, start, deadlineMillis)) }
        return true
    }

    /** Ends the attempt that is under way. */
    fun close() {
        current?.let {
            choice.ended(it.chosen)
            it.cancel()
        }
        current = null
    }

    private fun request(id: String, chosen: Chosen, start: AttemptStart, deadlineMillis: Long): GenerateRequest =
        GenerateRequest.newBuilder()
            .setAttemptId(id)
            .setAgentIncarnation(chosen.agentIncarnation)
            .setRequestId(generation.requestId)
            .setClientAccount(generation.caller.clientAccount)
            .setModel(generation.model.name)
            .setWeights(chosen.replica.weights)
            .setReplica(chosen.replica.replica)
            .setPrompt(generation.request.prompt)
            .setMaxTokens(generation.request.maxTokens)
            .setPriority(generation.priority)
            .setResumeOffset(start.resumeOffset)
            .setResumeText(start.resumeText)
            .setDeadlineMillis(deadlineMillis)
            .addAllPieceHashes(chosen.routing.pieceNames)
            .setRedirected(start.isRedirected)
            .build()
}
