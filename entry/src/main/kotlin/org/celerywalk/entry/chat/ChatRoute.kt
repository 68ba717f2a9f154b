package org.celerywalk.entry.chat

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.celerywalk.account.Admission
import org.celerywalk.account.AdmissionError
import org.celerywalk.account.Reservation
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.ModelEntry
import org.celerywalk.entry.http.AccessControl
import org.celerywalk.entry.http.AuthenticatedRequest
import org.celerywalk.entry.http.CallerRequest
import org.celerywalk.entry.http.Exchange
import org.celerywalk.entry.http.HttpStatus
import org.celerywalk.entry.http.Problem
import org.celerywalk.entry.http.Route
import org.celerywalk.entry.http.invalidRequest
import org.celerywalk.entry.http.toProblem
import org.celerywalk.entry.http.unavailable
import org.celerywalk.key.CallerKey
import org.celerywalk.key.KeyError
import org.celerywalk.key.KeyProblem
import kotlin.time.Duration.Companion.seconds

/** Handles `POST /v1/chat/completions`. */
internal class ChatRoute(
    private val accessControl: AccessControl,
    private val configuration: () -> Configuration?,
    private val admission: Admission,
    private val relayManager: RelayManager,
) : Route {
    override val name = "chat"

    override fun check(request: CallerRequest): Either<Problem, AuthenticatedRequest> =
        accessControl.authenticate(request).flatMap {
            if (relayManager.isFull) {
                unavailable("streams_full", "too many streams are open", 1.seconds).left()
            } else {
                it.right()
            }
        }

    override fun handle(exchange: Exchange, body: ByteArray) {
        val authenticated = exchange.admittedRequest as AuthenticatedRequest
        parseChatRequest(body)
            .flatMap { checkContentAndModel(it, authenticated.authentication.key, authenticated.clientAccount) }
            .fold(exchange::refuse) { (request, model) -> reserveTokens(exchange, authenticated, request, model) }
    }

    private fun checkContentAndModel(request: ChatRequest, key: CallerKey, account: String) = either {
        ensure(!key.occursIn(request.prompt)) { KeyError(KeyProblem.IN_CONTENT).toProblem() }
        val model = ensureNotNull(findModel(account, request.model)) {
            invalidRequest("model_not_found", "the model does not exist or is not available", HttpStatus.NOT_FOUND)
        }
        request to model
    }

    private fun findModel(account: String, name: String): ModelEntry? =
        configuration()?.let { availableModels(it, account) }?.firstOrNull { it.name == name }

    private fun reserveTokens(
        exchange: Exchange,
        authenticated: AuthenticatedRequest,
        request: ChatRequest,
        model: ModelEntry,
    ) {
        admission.reserve(authenticated.clientAccount, request.promptTokens.toLong() + request.maxTokens)
            .thenAccept { result ->
                result.mapLeft { it.toProblem() }.fold(exchange::refuse) { reservation ->
                    startRelay(exchange, authenticated, request, model, reservation)
                }
            }
            .exceptionally { failure -> exchange.fail(failure) }
    }

    private fun startRelay(
        exchange: Exchange,
        authenticated: AuthenticatedRequest,
        request: ChatRequest,
        model: ModelEntry,
        reservation: Reservation,
    ) = relayManager.start(
        Generation(
            exchange.request.requestId,
            authenticated.authentication.caller,
            request,
            model,
            reservation,
            relayManager.newDeadlineMillis(),
        ),
        exchange,
    )
}

/** Returns the models that [account] may use. */
internal fun availableModels(configuration: Configuration, account: String): List<ModelEntry> {
    val accountEntry = configuration.commercial.clientAccounts.firstOrNull { it.name == account }
    return configuration.platform.models.filter {
        accountEntry != null && (accountEntry.models.isEmpty() || it.name in accountEntry.models)
    }
}

private fun AdmissionError.toProblem(): Problem = when (retryAfter) {
    null -> invalidRequest("request_exceeds_burst", message)
    else -> Problem(HttpStatus.TOO_MANY_REQUESTS, "rate_limit_error", "rate_limited", message, retryAfter = retryAfter)
}
