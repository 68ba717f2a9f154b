package org.celerywalk.entry.service

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.CallOptions
import org.celerywalk.booking.BookingReply
import org.celerywalk.entry.agents.AgentClient
import org.celerywalk.entry.agents.EndpointRegistry
import org.celerywalk.entry.agents.LostCall
import org.celerywalk.entry.agents.toExecution
import org.celerywalk.entry.agents.unaryCall
import org.celerywalk.entry.http.HttpStatus
import org.celerywalk.entry.http.Problem
import org.celerywalk.entry.http.newRandomId
import org.celerywalk.entry.http.unavailable
import org.celerywalk.error.Execution
import org.celerywalk.key.RETURNED_HEADERS
import org.celerywalk.key.allowedHeaders
import org.celerywalk.protocol.ServiceReply
import org.celerywalk.rpc.AgentMethods
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Calls plain services through agents.
 *
 * A call is retried at another endpoint only if its last attempt did not run and cannot run later, or if the service
 * is repeatable.
 */
internal class AgentServiceClient(
    private val endpoints: EndpointRegistry,
    private val lostBookingResolver: LostBookingResolver,
    private val timeSource: TimeSource,
    private val wallClock: () -> Long,
    private val random: Random = Random.Default,
) {
    /** Attempts [call] at up to [MAX_ATTEMPTS] endpoints, in random order. */
    fun execute(call: ServiceCall): CompletableFuture<Either<Problem, ServiceAnswer>> {
        val clients = endpoints.clientsForService(call.service.name).filter { it.incarnation != null }.shuffled(random)
        val noEndpoint = unavailable("no_endpoint", "no endpoint runs the service at the moment", 1.seconds)
        return attempt(call, clients.take(MAX_ATTEMPTS), timeSource.markNow(), noEndpoint)
    }

    private fun attempt(
        call: ServiceCall,
        clients: List<AgentClient>,
        startedAt: TimeMark,
        lastRefusal: Problem,
    ): CompletableFuture<Either<Problem, ServiceAnswer>> {
        val client = clients.firstOrNull { it.incarnation != null && it.tryAcquireWaitSlot() }
        val incarnation = client?.incarnation ?: return CompletableFuture.completedFuture(lastRefusal.left())
        val remainingClients = clients.drop(clients.indexOf(client) + 1)
        val expiresAtMillis = wallClock() + ATTEMPT_LIFETIME.inWholeMilliseconds
        return send(call, ServiceAttempt(newRandomId(), client, incarnation, expiresAtMillis)).thenCompose { outcome ->
            val problem = outcome.leftOrNull()?.takeIf { it.execution == Execution.NOT_RUN || !call.isBooking }
            if (problem != null && startedAt.elapsedNow() < RETRY_WINDOW) {
                attempt(call, remainingClients, startedAt, problem)
            } else {
                CompletableFuture.completedFuture(outcome)
            }
        }
    }

    private fun send(
        call: ServiceCall,
        attempt: ServiceAttempt,
    ): CompletableFuture<Either<Problem, ServiceAnswer>> {
        val message = call.toMessage(attempt.id, attempt.agentIncarnation, attempt.expiresAtMillis)
        val options = CallOptions.DEFAULT.withDeadlineAfter(CALL_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return attempt.client.unaryCall(AgentMethods.CALL_SERVICE, message, options)
            .whenComplete { _, _ -> attempt.client.releaseWaitSlot() }
            .thenCompose { result ->
                result.fold(
                    { resolveLostCall(call, attempt, it) },
                    { handleReply(attempt, it) },
                )
            }
    }

    private fun handleReply(
        attempt: ServiceAttempt,
        reply: ServiceReply,
    ): CompletableFuture<Either<Problem, ServiceAnswer>> {
        if (reply.agentStopping) {
            endpoints.notices.recordStopping(attempt.client.endpoint.name, attempt.agentIncarnation)
        }
        return CompletableFuture.completedFuture(reply.toOutcome())
    }

    private fun resolveLostCall(
        call: ServiceCall,
        attempt: ServiceAttempt,
        lostCall: LostCall,
    ): CompletableFuture<Either<Problem, ServiceAnswer>> = if (lostCall.wasSent && call.isBooking) {
        lostBookingResolver.resolve(call, attempt).thenApply { it.toOutcome() }
    } else {
        val execution = if (lostCall.wasSent) Execution.UNKNOWN else Execution.NOT_RUN
        val problem = buildProblem(execution, "agent_lost", "the agent gave no answer: ${lostCall.status.code}", null)
        CompletableFuture.completedFuture(problem.left())
    }

    private fun BookingReply.toOutcome(): Either<Problem, ServiceAnswer> = when (val recordedAnswer = answer) {
        null -> buildProblem(execution, code, message, retryAfter).left()
        else -> buildAnswer(recordedAnswer.status, recordedAnswer.headers, recordedAnswer.body)
    }

    private fun ServiceReply.toOutcome(): Either<Problem, ServiceAnswer> = if (status != 0) {
        buildAnswer(status, headersList.map { it.name to it.value }, body.toByteArray())
    } else {
        val retryAfter = retryAfterMillis.takeIf { it > 0 }?.milliseconds
        buildProblem(execution.toExecution(), code, message, retryAfter).left()
    }

    // Jetty fails on a status that HTTP does not have, and on an interim one waits for the final response.
    private fun buildAnswer(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ): Either<Problem, ServiceAnswer> = if (status in FINAL_STATUSES) {
        val fields = allowedHeaders(headers, RETURNED_HEADERS) + (EXECUTION_HEADER to Execution.RAN.wireName)
        ServiceAnswer(status, fields, body).right()
    } else {
        buildProblem(Execution.UNKNOWN, "service_answer_lost", "the agent named the status $status", null).left()
    }

    private fun buildProblem(execution: Execution, code: String, message: String, retryAfter: Duration?) = Problem(
        status = if (execution == Execution.NOT_RUN) HttpStatus.SERVICE_UNAVAILABLE else HttpStatus.BAD_GATEWAY,
        type = if (execution == Execution.NOT_RUN) "unavailable_error" else "endpoint_error",
        code = code.ifEmpty { "service_failed" },
        message = message,
        execution = execution,
        retryAfter = retryAfter ?: 1.seconds.takeIf { execution == Execution.NOT_RUN },
    )

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val EXECUTION_HEADER = "x-execution"
        val FINAL_STATUSES = 200..599
        val ATTEMPT_LIFETIME = 30.seconds
        val CALL_TIMEOUT = 30.seconds

        // After this time since the first attempt, the caller gets the refusal instead of waiting for another attempt.
        val RETRY_WINDOW = 10.seconds
    }
}
