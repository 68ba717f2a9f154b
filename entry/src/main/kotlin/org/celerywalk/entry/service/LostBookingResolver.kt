package org.celerywalk.entry.service

import io.grpc.CallOptions
import org.celerywalk.booking.AttemptBarWriter
import org.celerywalk.booking.BookingAttempt
import org.celerywalk.booking.BookingKey
import org.celerywalk.booking.BookingReply
import org.celerywalk.entry.agents.AgentClient
import org.celerywalk.entry.agents.toExecution
import org.celerywalk.entry.agents.unaryCall
import org.celerywalk.error.Execution
import org.celerywalk.protocol.BarRequest
import org.celerywalk.rpc.AgentMethods
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Attempt of a call at one incarnation of an agent. */
internal class ServiceAttempt(
    val id: String,
    val client: AgentClient,
    val agentIncarnation: String,
    val expiresAtMillis: Long,
)

/**
 * Determines the outcome of a booking whose call was lost, and bars the attempt from running later if possible.
 *
 * The agent is asked first. If it does not bar the attempt, a bar in the table does so unless the booking is claimed.
 * If the table holds the answer of the booking, that answer is returned.
 */
internal class LostBookingResolver(private val barWriter: AttemptBarWriter) {
    /** Completes with `NOT_RUN` only if the attempt has not run and can never run. */
    fun resolve(call: ServiceCall, attempt: ServiceAttempt): CompletableFuture<BookingReply> =
        barAtAgent(attempt).thenCompose { execution ->
            if (execution == Execution.NOT_RUN) {
                val reply = BookingReply(Execution.NOT_RUN, code = "agent_lost", message = "the agent gave no answer")
                CompletableFuture.completedFuture(reply)
            } else {
                barWriter.bar(call.toBookingAttempt(attempt)).thenApply { mergeExecutions(it, execution) }
            }
        }

    private fun barAtAgent(attempt: ServiceAttempt): CompletableFuture<Execution> {
        val request = BarRequest.newBuilder()
            .setAttemptId(attempt.id)
            .setAgentIncarnation(attempt.agentIncarnation)
            .setExpiresAtMillis(attempt.expiresAtMillis)
            .build()
        val options = CallOptions.DEFAULT.withDeadlineAfter(BAR_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return attempt.client.unaryCall(AgentMethods.BAR, request, options)
            .thenApply { result -> result.fold({ Execution.UNKNOWN }, { it.execution.toExecution() }) }
    }

    // An agent that reports that the attempt ran takes precedence over the table.
    private fun mergeExecutions(reply: BookingReply, agentExecution: Execution): BookingReply =
        if (agentExecution == Execution.RAN && reply.answer == null) reply.copy(execution = Execution.RAN) else reply

    private fun ServiceCall.toBookingAttempt(attempt: ServiceAttempt) = BookingAttempt(
        booking = BookingKey(clientAccount, service.name, idempotencyKey),
        attemptId = attempt.id,
        agentIncarnation = attempt.agentIncarnation,
        digest = HexFormat.of().formatHex(digest),
        expiresAtMillis = attempt.expiresAtMillis,
    )

    private companion object {
        const val BAR_TIMEOUT_SECONDS = 2L
    }
}
