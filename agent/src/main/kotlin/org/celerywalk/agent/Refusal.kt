package org.celerywalk.agent

import org.celerywalk.error.Execution
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRefused
import org.celerywalk.protocol.ReplicaSummary

/** Reports why an attempt has no complete answer. [retryAfterMillis] is 0 if no time is suggested. */
internal data class Refusal(
    val code: String,
    val message: String,
    val execution: Execution = Execution.NOT_RUN,
    val retryAfterMillis: Long = 0,
) {
    fun toEvent(summary: ReplicaSummary?): GenerateEvent.Builder {
        val refusedBuilder = GenerateRefused.newBuilder()
            .setCode(code)
            .setMessage(message)
            .setExecution(execution.toProtocol())
            .setRetryAfterMillis(retryAfterMillis)
        summary?.let(refusedBuilder::setSummary)
        return GenerateEvent.newBuilder().setRefused(refusedBuilder)
    }
}

internal fun Execution.toProtocol(): org.celerywalk.protocol.Execution = when (this) {
    Execution.NOT_RUN -> org.celerywalk.protocol.Execution.NOT_RUN
    Execution.RAN -> org.celerywalk.protocol.Execution.RAN
    Execution.UNKNOWN -> org.celerywalk.protocol.Execution.UNKNOWN
}
