package org.celerywalk.entry.http

import arrow.core.Either
import org.celerywalk.error.Execution
import org.tinylog.kotlin.Logger
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
