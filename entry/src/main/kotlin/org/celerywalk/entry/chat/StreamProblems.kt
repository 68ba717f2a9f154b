package org.celerywalk.entry.chat

import org.celerywalk.entry.http.HttpStatus
import org.celerywalk.entry.http.Problem
import org.celerywalk.error.Execution
import org.celerywalk.key.KeyProblem
import org.celerywalk.stream.StreamFailure
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_RETRY_DELAY = 1.seconds

internal fun StreamFailure.toProblem() = Problem(
    status = if (execution == Execution.NOT_RUN) HttpStatus.SERVICE_UNAVAILABLE else HttpStatus.BAD_GATEWAY,
    type = if (execution == Execution.NOT_RUN) "unavailable_error" else "endpoint_error",
    code = code,
    message = message,
    execution = execution,
    retryAfter = retryAfter ?: DEFAULT_RETRY_DELAY.takeIf { execution == Execution.NOT_RUN },
)

/** Problem that ends a stream whose key is no longer accepted. Part of its work may have been executed. */
internal fun streamCutProblem(problem: KeyProblem) =
    Problem(HttpStatus.UNAUTHORIZED, "authentication_error", problem.code, problem.text, Execution.UNKNOWN)
