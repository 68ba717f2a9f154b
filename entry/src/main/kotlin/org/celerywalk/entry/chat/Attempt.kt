package org.celerywalk.entry.chat

import io.grpc.CallOptions
import io.grpc.ClientCall
import io.grpc.Metadata
import io.grpc.Status
import org.celerywalk.entry.agents.SentTracker
import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.stream.StreamEvent
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Runs one `Generate` call with manual flow control: each event is requested, so that a slow caller causes
 * backpressure on the agent.
 *
 * gRPC calls the listener functions one at a time, on the threads of the call executor.
 */
internal class Attempt(
    val id: String,
    val target: SelectedReplica,
    private val onEvent: (Attempt, GenerateEvent) -> Unit,
    private val onCallLost: (Attempt, StreamEvent.Refused) -> Unit,
) : ClientCall.Listener<GenerateEvent>() {
    private val sentTracker = SentTracker()
    private val call = target.agentClient.call(
        AgentMethods.GENERATE,
        CallOptions.DEFAULT.withStreamTracerFactory(sentTracker),
    )
    private val holdsWaitSlot = AtomicBoolean(true)

    fun start(request: GenerateRequest) {
        call.start(this, Metadata())
        call.sendMessage(request)
        call.halfClose()
        call.request(1)
    }

    /** Requests one more event. */
    fun requestNextEvent() = call.request(1)

    /** Cancels the call, and with it the agent's work for this attempt. */
    fun cancel() {
        releaseWaitSlot()
        call.cancel("the entry needs no further events", null)
    }

    override fun onMessage(event: GenerateEvent) {
        releaseWaitSlot()
        onEvent(this, event)
    }

    override fun onClose(status: Status, trailers: Metadata) {
        releaseWaitSlot()
        val execution = if (sentTracker.wasSent) Execution.UNKNOWN else Execution.NOT_RUN
        onCallLost(this, StreamEvent.Refused("agent_lost", "the call to the agent ended: ${status.code}", execution))
    }

    private fun releaseWaitSlot() {
        if (holdsWaitSlot.getAndSet(false)) target.agentClient.releaseWaitSlot()
    }
}
