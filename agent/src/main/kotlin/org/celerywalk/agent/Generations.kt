package org.celerywalk.agent

import io.grpc.stub.ServerCallStreamObserver
import org.celerywalk.endpoint.ExpectedEngine
import org.celerywalk.endpoint.checkDispatch
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.routing.QueuedWork
import java.util.concurrent.ConcurrentHashMap

/** Admits attempts to the replicas and keeps those that run. */
internal class Generations(
    private val incarnation: String,
    private val replicas: Map<String, Replica>,
    private val leaving: () -> Boolean,
    private val wallClock: () -> Long,
) {
    private val running = ConcurrentHashMap.newKeySet<Generation>()

    val runningCount: Int
        get() = running.size

    fun generate(request: GenerateRequest, observer: ServerCallStreamObserver<GenerateEvent>) {
        val sink = EventSink(request.attemptId, observer)
        val replica = replicas[request.replica]
        if (replica == null) {
            // gRPC throws at writes to a cancelled call that has no handler.
            observer.setOnCancelHandler { sink.cancelled() }
            val message = "given replica '${request.replica}', have ${replicas.keys}"
            sink.end(Refusal("unknown_replica", message).toEvent(null))
        } else {
            val generation = Generation(request, replica, sink, { check(request, replica, leaving = false) }) {
                running.remove(it)
            }
            observer.setOnCancelHandler { generation.cancel() }
            admit(request, replica, generation, sink)
        }
    }

    private fun admit(request: GenerateRequest, replica: Replica, generation: Generation, sink: EventSink) {
        val refusal = check(request, replica, leaving())
        if (refusal != null) return sink.end(refusal.toEvent(replica.summary(!leaving())))
        val tokens = request.promptTokens().toLong() + request.maxTokens
        running.add(generation)
        replica.load.offer(
            QueuedWork(request.attemptId, request.clientAccount, tokens, request.priority, generation),
        ).onLeft { full ->
            running.remove(generation)
            val millis = full.retryAfter.inWholeMilliseconds
            sink.end(Refusal("queue_full", full.message, retryAfterMillis = millis).toEvent(replica.summary(true)))
        }
    }

    private fun check(request: GenerateRequest, replica: Replica, leaving: Boolean): Refusal? {
        val wanted =
            ExpectedEngine(request.agentIncarnation, request.model, request.weights, request.deadlineMillis)
        return checkDispatch(wanted, incarnation, replica.actual, leaving, wallClock())
            ?.let { Refusal(it.code, it.message) }
    }
}
