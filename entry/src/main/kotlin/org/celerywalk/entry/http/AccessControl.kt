package org.celerywalk.entry.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celerywalk.error.Execution
import org.celerywalk.key.AuthenticatedCaller
import org.celerywalk.key.KeyError
import org.celerywalk.key.KeyProblem
import org.celerywalk.key.RequestAuthenticator
import kotlin.time.Duration.Companion.seconds

/** Admits requests while the process accepts them, and authenticates their keys. */
internal class AccessControl(
    private val authenticator: RequestAuthenticator,
    private val isAcceptingRequests: () -> Boolean,
) {
    /** Refuses new requests while the process stops. */
    fun checkAccepting(): Either<Problem, Unit> = if (isAcceptingRequests()) {
        Unit.right()
    } else {
        stoppingProblem(Execution.NOT_RUN).left()
    }

    /** Authenticates a request by its key. */
    fun authenticate(request: CallerRequest): Either<Problem, AuthenticatedRequest> = checkAccepting().flatMap {
        authenticator.authenticate(request.headers, request.path, request.query)
            .mapLeft { it.toProblem() }
            .map(::AuthenticatedRequest)
    }
}

/** Admitted request with a valid key. */
internal class AuthenticatedRequest(val authentication: AuthenticatedCaller) : AdmittedRequest {
    override val clientAccount: String get() = authentication.caller.clientAccount
}

internal fun KeyError.toProblem(): Problem = when (problem) {
    KeyProblem.NOT_CONFIRMED -> unavailable(problem.code, message, 1.seconds)
    KeyProblem.MISSING, KeyProblem.INVALID ->
        Problem(HttpStatus.UNAUTHORIZED, "authentication_error", problem.code, message)
    else -> invalidRequest(problem.code, message)
}
