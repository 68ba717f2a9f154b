package org.celerywalk.agent

import com.google.protobuf.ByteString
import org.celerywalk.booking.BookingAttempt
import org.celerywalk.booking.BookingKey
import org.celerywalk.booking.BookingReply
import org.celerywalk.booking.Bookings
import org.celerywalk.booking.CallResult
import org.celerywalk.error.Execution
import org.celerywalk.protocol.BarReply
import org.celerywalk.protocol.BarRequest
import org.celerywalk.protocol.Header
import org.celerywalk.protocol.ServiceReply
import org.celerywalk.protocol.ServiceRequest
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger

/**
 * Handles calls of the endpoint's plain services.
 *
 * A call with an idempotency key is a booking and runs at most once; a call without one goes directly to the service.
 */
internal class ServiceCallHandler(
    private val incarnation: String,
    private val services: Map<String, PlainService>,
    private val bookings: Bookings,
    private val isRejectingWork: () -> Boolean,
) {
    private val activeCalls = AtomicInteger()

    /** Number of calls that have no reply yet. */
    val activeCount: Int
        get() = activeCalls.get()

    fun call(request: ServiceRequest): CompletableFuture<ServiceReply> {
        activeCalls.incrementAndGet()
        val reply = if (request.idempotencyKey.isEmpty()) callDirectly(request) else runBooking(request)
        return reply
            .exceptionally { BookingReply(Execution.UNKNOWN, code = "agent_failed", message = "${it.cause ?: it}") }
            .thenApply { it.toProtocol(request.attemptId) }
            .whenComplete { _, _ -> activeCalls.decrementAndGet() }
    }

    /** Bars an attempt from starting, unless it has started already; the reply tells whether it ran, if known. */
    fun bar(request: BarRequest): BarReply {
        val execution = bookings.bar(request.attemptId, request.agentIncarnation, request.expiresAtMillis)
        return BarReply.newBuilder().setExecution(execution.toProtocol()).build()
    }

    private fun callDirectly(request: ServiceRequest): CompletableFuture<BookingReply> {
        val service = services[request.service]
        val refusal = when {
            request.agentIncarnation != incarnation ->
                "agent_replaced" to "the agent's current incarnation is $incarnation"
            isRejectingWork() -> ENDPOINT_LEAVING
            service == null -> unknownService(request)
            else -> null
        }
        if (service == null || refusal != null) {
            val (code, message) = checkNotNull(refusal)
            val reply = BookingReply(Execution.NOT_RUN, code = code, message = message)
            return CompletableFuture.completedFuture(reply)
        }
        return service.call(request).thenApply { result ->
            when (result) {
                is CallResult.Answered -> BookingReply(Execution.RAN, result.answer)
                is CallResult.NotSent ->
                    BookingReply(Execution.NOT_RUN, code = "service_unreachable", message = result.message)
                is CallResult.Lost ->
                    BookingReply(Execution.UNKNOWN, code = "service_answer_lost", message = result.message)
            }
        }
    }

    private fun runBooking(request: ServiceRequest): CompletableFuture<BookingReply> {
        val service = services[request.service]
        val attempt = BookingAttempt(
            booking = BookingKey(request.clientAccount, request.service, request.idempotencyKey),
            attemptId = request.attemptId,
            agentIncarnation = request.agentIncarnation,
            digest = HexFormat.of().formatHex(request.requestDigest.toByteArray()),
            expiresAtMillis = request.expiresAtMillis,
        )
        return when {
            isRejectingWork() -> bookings.refuse(attempt, ENDPOINT_LEAVING.first, ENDPOINT_LEAVING.second)
            service == null -> unknownService(request).let { (code, message) ->
                bookings.refuse(attempt, code, message)
            }
            else -> bookings.run(attempt) { service.call(request) }
        }
    }

    private fun unknownService(request: ServiceRequest) =
        "unknown_service" to "unknown service '${request.service}', expected one of ${services.keys}"

    private companion object {
        val ENDPOINT_LEAVING = "leaving" to "the endpoint takes no new work"
    }
}

private fun BookingReply.toProtocol(attemptId: String): ServiceReply {
    val reply = ServiceReply.newBuilder()
        .setAttemptId(attemptId)
        .setExecution(execution.toProtocol())
        .setReplayed(replayed)
        .setCode(code)
        .setMessage(message)
        .setRetryAfterMillis(retryAfter?.inWholeMilliseconds ?: 0)
    answer?.let { serviceAnswer ->
        reply.setStatus(serviceAnswer.status).setBody(ByteString.copyFrom(serviceAnswer.body))
        serviceAnswer.headers.forEach { (name, value) ->
            reply.addHeaders(Header.newBuilder().setName(name).setValue(value))
        }
    }
    return reply.build()
}
