package org.celerywalk.entry.http

import arrow.core.Either
import io.javalin.http.Context
import org.celerywalk.entry.Lifecycle
import org.celerywalk.error.Execution
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Handles one kind of request. */
internal interface Route {
    /** Name of the route in logs and metrics. */
    val name: String

    /** Admits or refuses a request by its head; the body of a refused request is not read. */
    fun check(request: CallerRequest): Either<Problem, AdmittedRequest>

    /** Begins to handle the request; the answer is written to the exchange's response now or later. */
    fun handle(exchange: Exchange, body: ByteArray)
}

/**
 * Result of the checks on the head of an admitted request.
 *
 * @property clientAccount account of the request's key; empty on routes that need no key.
 */
internal interface AdmittedRequest {
    val clientAccount: String
}

/** Admitted request with its response, which is sent at most once. */
internal class Exchange(
    val request: CallerRequest,
    val admittedRequest: AdmittedRequest,
    val response: CallerResponse,
    private val onRefusal: (Exchange, Problem) -> Unit,
) {
    private var isAnswered = false
    private var onStop: () -> Unit = { refuse(stoppingProblem(Execution.NOT_RUN)) }

    /** Sends a response with [send], unless the request has one. */
    fun answer(send: (CallerResponse) -> Unit) {
        if (claimAnswer()) send(response)
    }

    /** Answers the request with [problem], unless it has a response. */
    fun refuse(problem: Problem) = answer {
        onRefusal(this, problem)
        it.sendProblem(problem)
    }

    /**
     * Marks the request as passed on; [onStop] answers it if the process stops first. Returns false if it has a
     * response and must not be passed on.
     */
    @Synchronized
    fun passOn(onStop: () -> Unit): Boolean {
        if (!isAnswered) this.onStop = onStop
        return !isAnswered
    }

    /** Answers the request because the process stops before the response is complete. */
    fun stop() = synchronized(this) { onStop }()

    /** Answers the request after an internal error. Returns null, so that a future can complete with the result. */
    fun fail(failure: Throwable): Void? {
        refuse(internalError(request.requestId, failure))
        return null
    }

    @Synchronized
    private fun claimAnswer(): Boolean = !isAnswered.also { isAnswered = true }
}

/** Runs routes without occupying a thread while a body arrives or an answer is written. */
internal class RouteRunner(
    private val bodyReader: BodyReader,
    private val lifecycle: Lifecycle,
    private val onRefusal: (requestId: String, clientAccount: String?, Problem) -> Unit,
) {
    private val openRequests = AtomicInteger()
    private val openExchanges = ConcurrentHashMap.newKeySet<Exchange>()

    /** Number of requests whose response is not complete. */
    val openRequestCount: Int get() = openRequests.get()

    /** Answers all open requests because the process stops. */
    fun stopOpenRequests() = openExchanges.forEach(Exchange::stop)

    fun run(context: Context, route: Route) {
        openRequests.incrementAndGet()
        val request = CallerRequest(context, newRandomId())
        // The next request of a kept connection would be refused.
        if (!lifecycle.isServing) context.header("connection", "close")
        context.future {
            val response = CallerResponse(context, request.requestId)
            // An error must not leave the request open, because a planned stop waits for open requests.
            runCatching { admit(context, route, request, response) }
                .onFailure { refuse(request, response, internalError(request.requestId, it)) }
            response.completion.whenComplete { _, _ -> openRequests.decrementAndGet() }
        }
    }

    private fun admit(context: Context, route: Route, request: CallerRequest, response: CallerResponse) =
        route.check(request).fold(
            { refuse(request, response, it) },
            { admitted -> readBody(context, route, createExchange(request, admitted, response)) },
        )

    private fun refuse(request: CallerRequest, response: CallerResponse, problem: Problem) {
        onRefusal(request.requestId, null, problem)
        response.sendProblem(problem)
    }

    private fun createExchange(request: CallerRequest, admitted: AdmittedRequest, response: CallerResponse) =
        Exchange(request, admitted, response) { exchange, problem ->
            onRefusal(exchange.request.requestId, exchange.admittedRequest.clientAccount, problem)
        }

    private fun readBody(context: Context, route: Route, exchange: Exchange) {
        openExchanges += exchange
        exchange.response.completion.whenComplete { _, _ -> openExchanges -= exchange }
        bodyReader.read(context).thenAccept { result ->
            result.fold(exchange::refuse) { body ->
                exchange.response.completion.whenComplete { _, _ -> body.release() }
                // The body may have arrived long after the head was admitted.
                if (lifecycle.isAcceptingRequests) {
                    route.handle(exchange, body.takeBytes())
                } else {
                    exchange.refuse(stoppingProblem(Execution.NOT_RUN))
                }
            }
        }.exceptionally { failure -> exchange.fail(failure) }
    }
}

/** Problem of a request that the process does not serve because it stops. */
internal fun stoppingProblem(execution: Execution) = if (execution == Execution.NOT_RUN) {
    unavailable("stopping", "this instance is stopping", 1.seconds)
} else {
    Problem(HttpStatus.BAD_GATEWAY, "endpoint_error", "stopping", "this instance stopped before the answer", execution)
}

/** Logs an internal error, without its message, which may contain text of the caller, and returns its [Problem]. */
internal fun internalError(requestId: String, failure: Throwable): Problem {
    val cause = failure.cause ?: failure
    val location = cause.stackTrace.firstOrNull()
    Logger.error("event=internal_error request={} type={} at={}", requestId, cause.javaClass.name, location)
    return Problem(
        HttpStatus.INTERNAL_SERVER_ERROR,
        "internal_error",
        "internal_error",
        "the request failed because of an internal error",
        Execution.UNKNOWN,
    )
}
