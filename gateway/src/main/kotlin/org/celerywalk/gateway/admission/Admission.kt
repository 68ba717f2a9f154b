package org.celerywalk.gateway.admission

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.celerywalk.account.FleetQuota
import org.celerywalk.account.QuotaDecision
import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.gateway.ActiveConfiguration
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.callers.BodyProblem
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.limit.MemoryReservation
import org.celerywalk.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Response to a request that is not admitted. */
internal class Refusal(val status: Int, val reason: String, val retryAfter: Duration? = null)

/** Request that was admitted and charged to its client account's quota. */
internal class AdmittedRequest(
    val activeConfiguration: ActiveConfiguration,
    val route: Route,
    val account: AccountDefinition?,
    val body: ByteArray,
    private val quota: FleetQuota?,
    private val cost: Double,
) {
    /** Priority of the account, or of the route if the account has none; 0 is the most urgent. */
    val priority: Int get() = (account?.priority ?: route.priority).coerceIn(0, LOWEST_PRIORITY)

    /** Returns the urgency of the request at [service]; 0 is the most urgent. */
    fun rankAt(service: String): Int = activeConfiguration.ranks.rankOf(service, route, account)

    /** Returns the request's cost to the quota; to be called if no endpoint executed the request. */
    fun refund() {
        quota?.refund(cost)
    }

    companion object {
        const val LOWEST_PRIORITY = 9
    }
}

/** Admission control for callers' requests: checks route, API key, size and quota. */
internal class Admission(private val state: FleetState) {
    // The age of the configuration's confirmation is checked when a request arrives, which is after the caller sent it.
    private val maxConfirmationAge = state.settings.bounds.keyWithdrawal - CONFIRMATION_MARGIN

    /**
     * Admits the request of [exchange] and charges its quota, or returns the refusal. Reads the request's body within
     * [memory].
     */
    fun admit(exchange: CallerExchange, memory: MemoryReservation): Either<Refusal, AdmittedRequest> {
        val activeConfiguration = state.activeConfiguration
        val route = activeConfiguration?.routes?.find(exchange.host, exchange.path)
        return when {
            activeConfiguration == null -> Refusal(UNAVAILABLE, "no_configuration", CONFIGURATION_RETRY_AFTER).left()
            route == null ->
                (if (isConfigurationConfirmed()) Refusal(NOT_FOUND, "no_route") else unconfirmedRefusal()).left()
            else -> authenticate(activeConfiguration, route, exchange)
                .flatMap { account ->
                    readBody(activeConfiguration, exchange, memory)
                        .flatMap { body -> chargeQuota(activeConfiguration, route, account, exchange, body) }
                }
        }
    }

    private fun readBody(
        activeConfiguration: ActiveConfiguration,
        exchange: CallerExchange,
        memory: MemoryReservation,
    ): Either<Refusal, ByteArray> {
        val limits = activeConfiguration.configuration.limits
        val headerBytes =
            exchange.headers.sumOf { (name, value) -> name.length + value.length + HEADER_SEPARATOR_BYTES }
        if (headerBytes > limits.maxHeaderBytes + exchange.target.length) {
            return Refusal(HEADERS_TOO_LARGE, "headers_too_large").left()
        }
        return exchange.readBody(limits.maxBodyBytes, memory).mapLeft { problem ->
            when (problem) {
                BodyProblem.TOO_LARGE -> Refusal(CONTENT_TOO_LARGE, "body_too_large")
                BodyProblem.NO_MEMORY -> Refusal(UNAVAILABLE, "body_memory", BODY_MEMORY_RETRY_AFTER)
            }
        }
    }

    private fun chargeQuota(
        activeConfiguration: ActiveConfiguration,
        route: Route,
        account: AccountDefinition?,
        exchange: CallerExchange,
        body: ByteArray,
    ): Either<Refusal, AdmittedRequest> {
        if (account == null) return AdmittedRequest(activeConfiguration, route, null, body, null, 0.0).right()
        val quota = state.quotaOf(account.name)
        val cost = quotaCost(account, exchange)
        return when (val decision = quota.admit(cost)) {
            QuotaDecision.Admitted -> AdmittedRequest(activeConfiguration, route, account, body, quota, cost).right()
            is QuotaDecision.Refused ->
                Refusal(TOO_MANY_REQUESTS, "over_quota", decision.retryAfter.coerceAtLeast(MIN_RETRY_AFTER)).left()
        }
    }

    private fun authenticate(
        activeConfiguration: ActiveConfiguration,
        route: Route,
        exchange: CallerExchange,
    ): Either<Refusal, AccountDefinition?> {
        val keys = activeConfiguration.keys
        return when {
            keys == null || route.allowsAnonymous -> null.right()
            !isConfigurationConfirmed() -> unconfirmedRefusal().left()
            else -> exchange.caller.apiKey?.let(keys::find)?.right() ?: Refusal(UNAUTHORIZED, "unknown_key").left()
        }
    }

    private fun quotaCost(account: AccountDefinition, exchange: CallerExchange): Double = when {
        !account.countsTokens -> 1.0
        exchange.caller.hasTokenUsage ->
            (exchange.caller.promptTokens + exchange.caller.maxOutputTokens).toDouble()
        else -> account.defaultCost.toDouble()
    }

    private fun isConfigurationConfirmed() = state.confirmation.isWithin(maxConfirmationAge)

    private fun unconfirmedRefusal() = Refusal(UNAVAILABLE, "configuration_unconfirmed", CONFIGURATION_RETRY_AFTER)

    private companion object {
        const val UNAVAILABLE = 503
        const val NOT_FOUND = 404
        const val UNAUTHORIZED = 401
        const val CONTENT_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val TOO_MANY_REQUESTS = 429

        // ": " and CRLF of each header field.
        const val HEADER_SEPARATOR_BYTES = 4
        val CONFIGURATION_RETRY_AFTER = 1.seconds
        val BODY_MEMORY_RETRY_AFTER = 1.seconds
        val MIN_RETRY_AFTER = 100.milliseconds

        // Covers the time between the check and the send to the endpoint, and clocks that differ slightly in rate.
        val CONFIRMATION_MARGIN = 300.milliseconds
    }
}
