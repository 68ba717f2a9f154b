package org.celerywalk.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celerywalk.account.FleetQuota
import org.celerywalk.account.QuotaDecision
import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Says that a request is not passed on. */
internal class Refusal(val status: Int, val reason: String, val retryAfter: Duration? = null)

/** Holds a request that may be passed on; [refund] gives its cost back if it has not run. */
internal class AdmittedRequest(
    val activeConfiguration: ActiveConfiguration,
    val route: Route,
    val account: AccountDefinition?,
    val body: ByteArray,
    private val quota: FleetQuota?,
    private val cost: Double,
) {
    fun refund() {
        quota?.refund(cost)
    }
}

/** Decides whether a request may be passed on: route, key, size and quota. */
internal class Admission(private val state: FleetState) {
    // A confirmation is compared on arrival, which is after the caller sent the request.
    private val confirmationLimit = state.settings.bounds.keyWithdrawal - CONFIRMATION_MARGIN

    fun admit(exchange: CallerExchange): Either<Refusal, AdmittedRequest> {
        val activeConfiguration = state.activeConfiguration
        val route = activeConfiguration?.routes?.find(exchange.host, exchange.path)
        return when {
            activeConfiguration == null -> Refusal(UNAVAILABLE, "no_configuration", RETRY_SOON).left()
            route == null -> (if (current()) Refusal(NOT_FOUND, "no_route") else stale()).left()
            else -> account(activeConfiguration, route, exchange).flatMap { account -> checked(activeConfiguration, route, account, exchange) }
        }
    }

    private fun checked(
        activeConfiguration: ActiveConfiguration,
        route: Route,
        account: AccountDefinition?,
        exchange: CallerExchange,
    ): Either<Refusal, AdmittedRequest> {
        val limits = activeConfiguration.configuration.limits
        val headerBytes = exchange.headers.sumOf { (name, value) -> name.length + value.length + SEPARATOR_BYTES }
        val tooLarge = headerBytes > limits.maxHeaderBytes + exchange.target.length
        val body = if (tooLarge) null else exchange.readBody(limits.maxBodyBytes)
        return when {
            tooLarge -> Refusal(HEADERS_TOO_LARGE, "headers_too_large").left()
            body == null -> Refusal(TOO_LARGE, "body_too_large").left()
            else -> charge(activeConfiguration, route, account, exchange, body)
        }
    }

    private fun charge(
        activeConfiguration: ActiveConfiguration,
        route: Route,
        account: AccountDefinition?,
        exchange: CallerExchange,
        body: ByteArray,
    ): Either<Refusal, AdmittedRequest> {
        if (account == null) return AdmittedRequest(activeConfiguration, route, null, body, null, 0.0).right()
        val quota = state.quotaOf(account.name)
        val cost = cost(account, exchange)
        return when (val decision = quota.admit(cost)) {
            QuotaDecision.Admitted -> AdmittedRequest(activeConfiguration, route, account, body, quota, cost).right()
            is QuotaDecision.Refused ->
                Refusal(TOO_MANY, "over_quota", decision.retryAfter.coerceAtLeast(SHORTEST_RETRY)).left()
        }
    }

    private fun account(
        activeConfiguration: ActiveConfiguration,
        route: Route,
        exchange: CallerExchange,
    ): Either<Refusal, AccountDefinition?> {
        val keys = activeConfiguration.keys
        return when {
            keys == null || route.allowsAnonymous -> null.right()
            !current() -> stale().left()
            else -> exchange.caller.key?.let(keys::find)?.right() ?: Refusal(UNAUTHORIZED, "unknown_key").left()
        }
    }

    private fun cost(account: AccountDefinition, exchange: CallerExchange): Double = when {
        !account.countsTokens -> 1.0
        exchange.caller.declaresTokens ->
            (exchange.caller.promptTokens + exchange.caller.maxOutputTokens).toDouble()
        else -> account.defaultCost.toDouble()
    }

    private fun current() = state.confirmation.isWithin(confirmationLimit)

    private fun stale() = Refusal(UNAVAILABLE, "configuration_unconfirmed", RETRY_SOON)

    private companion object {
        const val UNAVAILABLE = 503
        const val NOT_FOUND = 404
        const val UNAUTHORIZED = 401
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val TOO_MANY = 429
        const val SEPARATOR_BYTES = 4
        val RETRY_SOON = 1.seconds
        val SHORTEST_RETRY = 100.milliseconds

        // Covers the time between the check and the send, and clocks that differ slightly in rate.
        val CONFIRMATION_MARGIN = 300.milliseconds
    }
}
