package org.celerywalk.entry.service

import io.grpc.CallOptions
import org.celerywalk.booking.AttemptBarWriter
import org.celerywalk.booking.BookingAttempt
import org.celerywalk.booking.BookingKey
import org.celerywalk.booking.BookingReply
import org.celerywalk.entry.agents.AgentLink
import org.celerywalk.entry.agents.toExecution
import org.celerywalk.entry.agents.unary
import org.celerywalk.error.Execution
import org.celerywalk.protocol.BarRequest
import org.celerywalk.rpc.AgentMethods
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Identifies one attempt of a call at one incarnation of an agent. */
internal class ServiceAttempt(
    val id: String,
    val link: AgentLink,
    val agentIncarnation: String,
    val expiresAtMillis: Long,
)

/**
 * Finds out what became of a booking whose call was lost, and excludes it from running later if that is possible.
 *
 * The agent is asked first. If it does not exclude the attempt, a bar in the table does so unless the booking is
 * claimed; a recorded answer is returned.
 */
internal class CallBarrier(private val bar: AttemptBarWriter) {
    /** Completes with `NOT_RUN` only if the attempt has not run and can never run. */
    fun settle(call: ServiceCall, attempt: ServiceAttempt): CompletableFuture<BookingReply> =
        askAgent(attempt).thenCompose { execution ->
            if (execution == Execution.NOT_RUN) {
                val reply = BookingReply(Execution.NOT_RUN, code = "agent_lost", message = "the agent gave no answer")
                CompletableFuture.completedFuture(reply)
            } else {
                bar.bar(call.toAttempt(attempt)).thenApply { worse(it, execution) }
            }
        }

    private fun askAgent(attempt: ServiceAttempt): CompletableFuture<Execution> {
        val request = BarRequest.newBuilder()
            .setAttemptId(attempt.id)
            .setAgentIncarnation(attempt.agentIncarnation)
            .setExpiresAtMillis(attempt.expiresAtMillis)
            .build()
        val options = CallOptions.DEFAULT.withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS)
        return attempt.link.unary(AgentMethods.BAR, request, options)
            .thenApply { result -> result.fold({ Execution.UNKNOWN }, { it.execution.toExecution() }) }
    }

    // An agent that says that the attempt ran is believed whatever the table holds.
    private fun worse(reply: BookingReply, agent: Execution): BookingReply =
        if (agent == Execution.RAN && reply.answer == null) reply.copy(execution = Execution.RAN) else reply

    private fun ServiceCall.toAttempt(attempt: ServiceAttempt) = BookingAttempt(
        booking = BookingKey(clientAccount, service.name, idempotencyKey),
        attemptId = attempt.id,
        agentIncarnation = attempt.agentIncarnation,
        digest = HexFormat.of().formatHex(digest),
        expiresAtMillis = attempt.expiresAtMillis,
    )

    private companion object {
        const val DEADLINE_SECONDS = 2L
    }
}
