package org.celerywalk.agent

import io.grpc.stub.ServerCallStreamObserver
import org.celerywalk.endpoint.ExpectedEngine
import org.celerywalk.endpoint.checkDispatch
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.routing.QueuedWork
import org.celerywalk.stream.StreamEvent
import java.util.concurrent.ConcurrentHashMap

/** Admits attempts to the replicas' queues and tracks those that have not ended. */
internal class GenerationHandler(
    private val incarnation: String,
    private val replicas: Map<String, Replica>,
    private val isRejectingWork: () -> Boolean,
    private val wallClockMillis: () -> Long,
) {
    private val activeGenerations = ConcurrentHashMap.newKeySet<Generation>()

    /** Number of queued and running attempts. */
    val activeCount: Int
        get() = activeGenerations.size

    fun generate(request: GenerateRequest, observer: ServerCallStreamObserver<GenerateEvent>, sink: EventSink) {
        val replica = replicas[request.replica]
        if (replica == null) {
            // Without a cancel handler, gRPC throws when a cancelled call is written to.
            observer.setOnCancelHandler { sink.discard() }
            val message = "unknown replica '${request.replica}', expected one of ${replicas.keys}"
            sink.finish(Refusal("unknown_replica", message).toEvent(null))
        } else {
            val generation = Generation(
                request,
                replica,
                sink,
                recheck = { check(request, replica, rejectsWork = false) },
                isPlannedEnd = isRejectingWork,
                onEnd = { activeGenerations.remove(it) },
            )
            observer.setOnCancelHandler { generation.cancel() }
            admit(request, replica, generation, sink)
        }
    }

    private fun admit(request: GenerateRequest, replica: Replica, generation: Generation, sink: EventSink) {
        val refusal = check(request, replica, isRejectingWork())
        if (refusal != null) return sink.finish(refusal.toEvent(replica.summary(!isRejectingWork())))
        val costTokens = request.estimatePromptTokens().toLong() + request.maxTokens
        activeGenerations.add(generation)
        replica.load.offer(
            QueuedWork(request.attemptId, request.clientAccount, costTokens, request.priority, generation),
        ).onLeft { queueFull ->
            activeGenerations.remove(generation)
            val retryAfterMillis = queueFull.retryAfter.inWholeMilliseconds
            sink.finish(
                Refusal(StreamEvent.Refused.QUEUE_FULL, queueFull.message, retryAfterMillis = retryAfterMillis)
                    .toEvent(replica.summary(true)),
            )
        }
    }

    private fun check(request: GenerateRequest, replica: Replica, rejectsWork: Boolean): Refusal? {
        val expectedEngine =
            ExpectedEngine(request.agentIncarnation, request.model, request.weights, request.deadlineMillis)
        return checkDispatch(expectedEngine, incarnation, replica.reportedEngine, rejectsWork, wallClockMillis())
            ?.let { Refusal(it.code, it.message) }
    }
}
