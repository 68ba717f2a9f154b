package org.celerywalk.entry.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celerywalk.key.AuthenticatedCaller
import org.celerywalk.key.KeyError
import org.celerywalk.key.KeyProblem
import org.celerywalk.key.RequestAuthenticator
import kotlin.time.Duration.Companion.seconds

/** Lets requests in while the process accepts them and their key is valid. */
internal class RequestGate(private val keys: RequestAuthenticator, private val accepting: () -> Boolean) {
    /** Refuses new requests of a process that is stopping. */
    fun open(): Either<Problem, Unit> = if (accepting()) {
        Unit.right()
    } else {
        unavailable("stopping", "this instance is stopping", 1.seconds).left()
    }

    /** Authenticates a request. */
    fun keyed(request: CallerRequest): Either<Problem, KeyedCaller> = open().flatMap {
        keys.authenticate(request.headers, request.path, request.query).mapLeft { it.toProblem() }.map(::KeyedCaller)
    }
}

/** Holds the caller of a keyed route. */
internal class KeyedCaller(val admitted: AuthenticatedCaller) : Admitted {
    override val clientAccount: String get() = admitted.caller.clientAccount
}

internal fun KeyError.toProblem(): Problem = when (problem) {
    KeyProblem.NOT_CONFIRMED -> unavailable(problem.code, message, 1.seconds)
    KeyProblem.MISSING, KeyProblem.INVALID ->
        Problem(HttpCode.UNAUTHORIZED, "authentication_error", problem.code, message)
    else -> invalidRequest(problem.code, message)
}
