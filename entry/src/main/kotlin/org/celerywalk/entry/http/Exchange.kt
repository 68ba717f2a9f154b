package org.celerywalk.entry.http

import arrow.core.Either
import io.javalin.http.Context
import org.celerywalk.error.Execution
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicInteger

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

/** Admitted request with its response. */
internal class Exchange(
    val request: CallerRequest,
    val admittedRequest: AdmittedRequest,
    val response: CallerResponse,
    private val onRefusal: (Exchange, Problem) -> Unit,
) {
    fun refuse(problem: Problem) {
        onRefusal(this, problem)
        response.sendProblem(problem)
    }

    /** Answers the request after an internal error. Returns null, so that a future can complete with the result. */
    fun fail(failure: Throwable): Void? {
        refuse(internalError(request.requestId, failure))
        return null
    }
}

/** Runs routes without occupying a thread while a body arrives or an answer is written. */
internal class RouteRunner(
    private val bodyReader: BodyReader,
    private val onRefusal: (requestId: String, clientAccount: String?, Problem) -> Unit,
) {
    private val openRequests = AtomicInteger()

    /** Number of requests whose response is not complete. */
    val openRequestCount: Int get() = openRequests.get()

    fun run(context: Context, route: Route) {
        openRequests.incrementAndGet()
        val request = CallerRequest(context, newRandomId())
        context.future {
            val response = CallerResponse(context, request.requestId)
            route.check(request).fold(
                {
                    onRefusal(request.requestId, null, it)
                    response.sendProblem(it)
                },
                { admitted -> readBody(context, route, createExchange(request, admitted, response)) },
            )
            response.completion.whenComplete { _, _ -> openRequests.decrementAndGet() }
        }
    }

    private fun createExchange(request: CallerRequest, admitted: AdmittedRequest, response: CallerResponse) =
        Exchange(request, admitted, response) { exchange, problem ->
            onRefusal(exchange.request.requestId, exchange.admittedRequest.clientAccount, problem)
        }

    private fun readBody(context: Context, route: Route, exchange: Exchange) {
        bodyReader.read(context).thenAccept { result ->
            result.fold(exchange::refuse) { body ->
                exchange.response.completion.whenComplete { _, _ -> body.release() }
                route.handle(exchange, body.takeBytes())
            }
        }.exceptionally { failure -> exchange.fail(failure) }
    }
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
