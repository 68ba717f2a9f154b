package org.celerywalk.gateway.callers

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.PlannedStop
import org.celerywalk.gateway.admission.Admission
import org.celerywalk.gateway.admission.AdmittedRequest
import org.celerywalk.gateway.admission.Refusal
import org.celerywalk.gateway.forwarding.ForwardingContext
import org.celerywalk.gateway.forwarding.ForwardingResult
import org.celerywalk.gateway.forwarding.RequestForwarder
import org.celerywalk.gateway.forwarding.RetryObstacle
import org.celerywalk.limit.MemoryBudget
import org.celerywalk.limit.MemoryReservation
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Handles callers' requests from arrival to the final response, each on the server thread of its connection. */
internal class RequestHandler(
    private val state: FleetState,
    private val forwardingContext: ForwardingContext,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val stop: PlannedStop,
) {
    private val admission = Admission(state)
    private val bodyMemory = MemoryBudget(BODY_MEMORY_BYTES)
    private val openRequests = AtomicInteger()
    private val forwardedExchanges = ConcurrentHashMap.newKeySet<CallerExchange>()

    /** Number of requests that are being handled. */
    val openRequestCount: Int get() = openRequests.get()

    /** Cancels all forwarded requests, each of which then gets its final response. */
    fun endOpenRequests() = forwardedExchanges.forEach { it.cancel(CancelReason.STOPPING) }

    /** Handles [request] and blocks until its response is complete or its connection is closed. */
    // Jetty ends the request after any other error, but does not log it.
    @Suppress("TooGenericExceptionCaught")
    fun handle(request: Request, response: Response, callback: Callback) {
        val exchange = CallerExchange(request, response, callback, state.timeSource.markNow()) { stop.hasBegun }
        try {
            openRequests.incrementAndGet()
            if (stop.isRefusing) {
                refuse(exchange, STOPPING_REFUSAL)
            } else if (openRequests.get() > MAX_OPEN_REQUESTS) {
                refuse(exchange, Refusal(UNAVAILABLE, "too_many_requests", OVERLOAD_RETRY_AFTER))
            } else {
                state.startupGate.awaitReady((exchange.caller.timeLeft ?: Duration.INFINITE) / START_WAIT_DIVISOR)
                MemoryReservation(bodyMemory).use { memory ->
                    admission.admit(exchange, memory)
                        .fold({ refuse(exchange, it) }, { forwardUnlessStopping(exchange, it) })
                }
            }
        } catch (e: IOException) {
            recordCallerGone(exchange, e)
            exchange.response.abort()
        } catch (e: Throwable) {
            log.write("request_failed", "id" to exchange.caller.attemptId, "cause" to e.toString())
            throw e
        } finally {
            openRequests.decrementAndGet()
        }
    }

    // The body may have taken long to arrive, and a response that the process can't complete would be cut off.
    private fun forwardUnlessStopping(exchange: CallerExchange, admitted: AdmittedRequest) {
        if (stop.isRefusing || expectedDuration(exchange) * DURATION_MARGIN > stop.timeLeft) {
            admitted.refund()
            refuse(exchange, STOPPING_REFUSAL)
        } else {
            forward(exchange, admitted)
        }
    }

    private fun expectedDuration(exchange: CallerExchange): Duration {
        val caller = exchange.caller
        return if (caller.model == null) Duration.ZERO else state.streams.expectedDuration(caller.outputTokens)
    }

    private fun forward(exchange: CallerExchange, admitted: AdmittedRequest) {
        val timeout = minOf(admitted.route.timeout, exchange.caller.timeLeft ?: Duration.INFINITE)
        val timeLeft = timeout - exchange.elapsed() - RESPONSE_DELIVERY_TIME
        val timer = forwardingContext.sendContext.timers.schedule(
            { exchange.cancel(CancelReason.TIME_IS_UP) },
            timeLeft.coerceAtLeast(Duration.ZERO).inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        exchange.watchForDisconnect()
        forwardedExchanges += exchange
        try {
            // The end of the open requests may have come just before this one was added to them.
            if (stop.timeLeft == Duration.ZERO) exchange.cancel(CancelReason.STOPPING)
            val forwarder = RequestForwarder(exchange, admitted, timeout, forwardingContext) { stop.hasBegun }
            val result = forwarder.forward()
            recordDone(exchange, admitted.route.name, result, forwarder.endpointIds)
        } finally {
            forwardedExchanges -= exchange
            exchange.stopWatching()
            timer.cancel(false)
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal) {
        exchange.discardArrivedBody()
        exchange.response.refuse(refusal.status, refusal.reason, refusal.retryAfter)
        recordDone(exchange, "none", ForwardingResult(refusal.reason, null, RetryObstacle.COMPLETE), emptyList())
    }

    private fun recordCallerGone(exchange: CallerExchange, cause: IOException) {
        val id = exchange.caller.attemptId
        if (exchange.cancelReason == CancelReason.LEFT_UNREAD) {
            metrics.recordUnreadResponse()
            log.write("response_unread", "id" to id, "ms" to exchange.elapsed().inWholeMilliseconds)
        } else {
            log.write("caller_gone", "id" to id, "cause" to cause.message)
        }
    }

    private fun recordDone(
        exchange: CallerExchange,
        route: String,
        result: ForwardingResult,
        endpointIds: List<String>,
    ) {
        metrics.recordRequest(route, result.outcome, exchange.elapsed())
        log.write(
            "request_done",
            "id" to exchange.caller.attemptId,
            "route" to route,
            "outcome" to result.outcome,
            "reason" to result.reason,
            "not_retried" to result.obstacle.takeIf { it != RetryObstacle.COMPLETE },
            "status" to exchange.response.status,
            "cut" to exchange.cancelReason,
            "endpoints" to endpointIds.joinToString(",").ifEmpty { null },
            "ms" to exchange.elapsed().inWholeMilliseconds,
            "read_ahead_ms" to exchange.readAheadAge?.inWholeMilliseconds,
            "configuration" to state.activeConfiguration?.configuration?.version,
            "confirmed_ms_ago" to state.confirmation.age()?.inWholeMilliseconds,
        )
    }

    private companion object {
        const val UNAVAILABLE = 503

        // Well below GatewayServer's number of threads, so that some remain for the readiness checks and metrics.
        const val MAX_OPEN_REQUESTS = 200

        // A sixth of the heap that deploy/system.toml allows; a body is held twice for a moment once it is complete.
        const val BODY_MEMORY_BYTES = 12L * 1024 * 1024

        // A request waits at most a third of its time for the gateway to start; the remaining time is for the response.
        const val START_WAIT_DIVISOR = 3
        val OVERLOAD_RETRY_AFTER = 1.seconds
        val STOPPING_REFUSAL = Refusal(UNAVAILABLE, "stopping", 50.milliseconds)

        // The expected duration of a stream is a median; few streams take twice as long.
        const val DURATION_MARGIN = 2

        // Subtracted from a request's time, so that the final response can still reach the caller.
        val RESPONSE_DELIVERY_TIME = 8.milliseconds
    }
}
