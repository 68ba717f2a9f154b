package org.celerywalk.gateway

import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.IOException
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
) {
    private val admission = Admission(state)
    private val openRequests = AtomicInteger()

    /** True once the process was told to stop; each response then closes its connection. Set by another thread. */
    @Volatile
    var isStopping: Boolean = false

    /** True once the process is about to end; new requests are then refused. Set by another thread. */
    @Volatile
    var isRefusing: Boolean = false

    /** Number of requests that are being handled. */
    val openRequestCount: Int get() = openRequests.get()

    /** Handles [request] and blocks until its response is complete or its connection is closed. */
    fun handle(request: Request, response: Response, callback: Callback) {
        val exchange = CallerExchange(request, response, callback, state.timeSource.markNow(), isStopping)
        try {
            openRequests.incrementAndGet()
            if (isRefusing) {
                refuse(exchange, Refusal(UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER))
            } else if (openRequests.get() > MAX_OPEN_REQUESTS) {
                refuse(exchange, Refusal(UNAVAILABLE, "too_many_requests", OVERLOAD_RETRY_AFTER))
            } else {
                state.startupGate.awaitReady((exchange.caller.timeLeft ?: Duration.INFINITE) / START_WAIT_DIVISOR)
                admission.admit(exchange).fold({ refuse(exchange, it) }, { forward(exchange, it) })
            }
        } catch (e: IOException) {
            log.write("caller_gone", "id" to exchange.caller.attemptId, "cause" to e.message)
            exchange.response.abort()
        } finally {
            openRequests.decrementAndGet()
        }
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
        try {
            val forwarder = RequestForwarder(exchange, admitted, timeout, forwardingContext)
            val outcome = forwarder.forward()
            recordDone(exchange, admitted.route.name, outcome, forwarder.endpointIds)
        } finally {
            exchange.stopWatching()
            timer.cancel(false)
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal) {
        exchange.response.refuse(refusal.status, refusal.reason, refusal.retryAfter)
        recordDone(exchange, "none", refusal.reason, emptyList())
    }

    private fun recordDone(exchange: CallerExchange, route: String, outcome: String, endpointIds: List<String>) {
        metrics.recordRequest(route, outcome, exchange.elapsed())
        log.write(
            "request_done",
            "id" to exchange.caller.attemptId,
            "route" to route,
            "outcome" to outcome,
            "status" to exchange.response.status,
            "cut" to exchange.cancelReason,
            "endpoints" to endpointIds.joinToString(",").ifEmpty { null },
            "ms" to exchange.elapsed().inWholeMilliseconds,
            "configuration" to state.activeConfiguration?.configuration?.version,
            "confirmed_ms_ago" to state.confirmation.age()?.inWholeMilliseconds,
        )
    }

    private companion object {
        const val UNAVAILABLE = 503

        // Well below GatewayServer's number of threads, so that some remain for the readiness checks and metrics.
        const val MAX_OPEN_REQUESTS = 200

        // A request waits at most a third of its time for the gateway to start; the remaining time is for the response.
        const val START_WAIT_DIVISOR = 3
        val OVERLOAD_RETRY_AFTER = 1.seconds
        val STOPPING_RETRY_AFTER = 50.milliseconds

        // Subtracted from a request's time, so that the final response can still reach the caller.
        val RESPONSE_DELIVERY_TIME = 8.milliseconds
    }
}
