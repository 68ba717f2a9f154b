package org.celerywalk.entry.chat

import org.celerywalk.entry.http.newRandomId
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.stream.AnswerStream
import org.celerywalk.stream.AttemptStart
import org.celerywalk.stream.StreamEvent

/** Runs the attempts of one generation, one at a time and each on another replica. */
internal class AttemptSequence(
    private val generation: Generation,
    private val replicaSelector: ReplicaSelector,
    private val observer: RelayObserver,
) {
    private val triedReplicas = mutableSetOf<Pair<String, String>>()

    /** Running attempt, or null if there is none. */
    var current: Attempt? = null
        private set

    /** Begins an attempt that must not start after [deadlineMillis]; returns false if no replica is available. */
    fun startNext(
        stream: AnswerStream,
        redirect: String?,
        deadlineMillis: Long,
        onEvent: (Attempt, GenerateEvent) -> Unit,
        onCallLost: (Attempt, StreamEvent.Refused) -> Unit,
    ): Boolean {
        val target = replicaSelector.select(generation, stream.weights, triedReplicas, redirect) ?: return false
        val id = newRandomId()
        val start = stream.beginAttempt(id, target.replica.weights)
        triedReplicas += target.replica.endpoint to target.replica.replica
        replicaSelector.recordSent(target)
        observer.onAttempt(generation, target, start.resumeOffset)
        current = Attempt(id, target, onEvent, onCallLost)
            .also { it.start(buildRequest(id, target, start, deadlineMillis)) }
        return true
    }

    /** Cancels the running attempt, if there is one. */
    fun cancelCurrent() {
        current?.let {
            replicaSelector.recordEnd(it.target)
            it.cancel()
        }
        current = null
    }

    private fun buildRequest(
        id: String,
        target: SelectedReplica,
        start: AttemptStart,
        deadlineMillis: Long,
    ): GenerateRequest =
        GenerateRequest.newBuilder()
            .setAttemptId(id)
            .setAgentIncarnation(target.agentIncarnation)
            .setRequestId(generation.requestId)
            .setClientAccount(generation.caller.clientAccount)
            .setModel(generation.model.name)
            .setWeights(target.replica.weights)
            .setReplica(target.replica.replica)
            .setPrompt(generation.request.prompt)
            .setMaxTokens(generation.request.maxTokens)
            .setPriority(generation.priority)
            .setResumeOffset(start.resumeOffset)
            .setResumeText(start.resumeText)
            .setDeadlineMillis(deadlineMillis)
            .addAllPieceHashes(target.routingRequest.pieceNames)
            .setRedirected(start.isRedirected)
            .build()
}
