package org.celerywalk.entry.agents

import io.grpc.CallOptions
import io.grpc.ClientCall
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import org.celerywalk.configuration.EndpointEntry
import org.celerywalk.endpoint.ReplicaSummary
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark

/** gRPC client of one endpoint's agent, with the state that the agent last reported. */
internal class AgentClient(endpoint: EndpointEntry, private val channel: ManagedChannel) {
    /** Endpoint in the configuration in force; its address never changes. */
    @Volatile
    var endpoint: EndpointEntry = endpoint

    /** Incarnation of the agent, or null until it has answered `Hello`. */
    @Volatile
    var incarnation: String? = null

    /** Time at which the last `Hello` was sent, or null before the first one. */
    @Volatile
    var lastHelloSentAt: ComparableTimeMark? = null

    /** Last reported summaries by replica name; empty while the agent does not answer. */
    @Volatile
    var summaries: Map<String, ReplicaSummary> = emptyMap()
        private set
    private val waitingCallCount = AtomicInteger()

    /** Acquires a slot for a call that waits for its first reply; returns false if none is free. */
    fun tryAcquireWaitSlot(): Boolean {
        val isWithinLimit = waitingCallCount.incrementAndGet() <= MAX_WAITING_CALLS
        if (!isWithinLimit) waitingCallCount.decrementAndGet()
        return isWithinLimit
    }

    /** Releases the slot of a call that has its first reply or has ended. */
    fun releaseWaitSlot() {
        waitingCallCount.decrementAndGet()
    }

    @Synchronized
    fun updateSummary(summary: ReplicaSummary) {
        summaries = summaries + (summary.replica to summary)
    }

    /** Removes the replicas of an agent that does not answer; requests use other endpoints until its next reply. */
    @Synchronized
    fun clearSummaries() {
        summaries = emptyMap()
    }

    fun <Q, A> call(method: MethodDescriptor<Q, A>, options: CallOptions = CallOptions.DEFAULT): ClientCall<Q, A> =
        channel.newCall(method, options)

    fun close() {
        channel.shutdown()
    }

    private companion object {
        // Equals an agent's queue limit for one replica; a slow agent cannot hold more requests of this process.
        const val MAX_WAITING_CALLS = 256
    }
}
