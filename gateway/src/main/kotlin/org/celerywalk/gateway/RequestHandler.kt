package org.celerywalk.gateway

import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Handles the requests of callers from arrival to the final answer, each on the thread that serves its connection. */
internal class RequestHandler(
    private val state: FleetState,
    private val forwarding: ForwardingParts,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) : AutoCloseable {
    private val admission = Admission(state)
    private val running = AtomicInteger()
    private val timers: ScheduledExecutorService = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "timeouts").apply { isDaemon = true }
    }.apply { removeOnCancelPolicy = true }

    /** True once the process was told to stop: answers then end their connections. */
    @Volatile
    var stopping: Boolean = false

    /** True once the process is about to end and takes no more requests. */
    @Volatile
    var refusing: Boolean = false

    /** Number of requests without a final answer. */
    val open: Int get() = running.get()

    fun handle(request: Request, response: Response, callback: Callback) {
        val exchange = CallerExchange(request, response, callback, state.timeSource.markNow(), stopping)
        try {
            running.incrementAndGet()
            if (refusing) {
                refuse(exchange, Refusal(UNAVAILABLE, "stopping", RETRY_ELSEWHERE))
            } else if (running.get() > MAX_REQUESTS) {
                refuse(exchange, Refusal(UNAVAILABLE, "too_many_requests", RETRY_LATER))
            } else {
                state.startupGate.awaitReady((exchange.caller.timeLeft ?: Duration.INFINITE) / PATIENCE_SHARE)
                admission.admit(exchange).fold({ refuse(exchange, it) }, { forward(exchange, it) })
            }
        } catch (e: IOException) {
            log.write("caller_gone", "id" to exchange.caller.attemptId, "cause" to e.message)
            exchange.answer.abort()
        } finally {
            running.decrementAndGet()
        }
    }

    override fun close() {
        timers.shutdownNow()
    }

    private fun forward(exchange: CallerExchange, admitted: AdmittedRequest) {
        val allowed = minOf(admitted.route.timeout, exchange.caller.timeLeft ?: Duration.INFINITE)
        val left = allowed - exchange.elapsed() - RETURN_TIME
        val timer = timers.schedule(
            { exchange.end(Cut.TIME_IS_UP) },
            left.coerceAtLeast(Duration.ZERO).inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        exchange.watch()
        try {
            val forwarding = Forwarding(exchange, admitted, allowed, forwarding)
            val outcome = forwarding.run()
            done(exchange, admitted.route.name, outcome, forwarding.endpoints)
        } finally {
            exchange.unwatch()
            timer.cancel(false)
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal) {
        exchange.answer.refuse(refusal.status, refusal.reason, refusal.retryAfter)
        done(exchange, "none", refusal.reason, emptyList())
    }

    private fun done(exchange: CallerExchange, route: String, outcome: String, endpoints: List<String>) {
        metrics.recordRequest(route, outcome, exchange.elapsed())
        log.write(
            "request_done",
            "id" to exchange.caller.attemptId,
            "route" to route,
            "outcome" to outcome,
            "status" to exchange.answer.status,
            "cut" to exchange.cut,
            "endpoints" to endpoints.joinToString(",").ifEmpty { null },
            "ms" to exchange.elapsed().inWholeMilliseconds,
            "configuration" to state.activeConfiguration?.configuration?.version,
            "confirmed_ms_ago" to state.confirmation.age()?.inWholeMilliseconds,
        )
    }

    private companion object {
        const val UNAVAILABLE = 503

        // Well below the threads of the server.
        const val MAX_REQUESTS = 200

        // The rest of a caller's time is for the answer.
        const val PATIENCE_SHARE = 3
        val RETRY_LATER = 1.seconds
        val RETRY_ELSEWHERE = 50.milliseconds

        // The final answer still has to reach the caller.
        val RETURN_TIME = 8.milliseconds
    }
}
