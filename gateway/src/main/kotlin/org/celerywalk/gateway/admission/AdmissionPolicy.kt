package org.celerywalk.gateway.admission

import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.gateway.ActiveConfiguration

/**
 * Which services of a configuration have admission to their replicas.
 *
 * Ranks and accounts compete only at a service with an engine that requests of several priorities, or several accounts,
 * use. Other services are served without admission.
 */
internal class AdmissionPolicy(val activeConfiguration: ActiveConfiguration) {
    private val configuration: FleetConfiguration = activeConfiguration.configuration
    private val accounts: List<AccountDefinition> = configuration.accounts.orEmpty()
    private val ranks = activeConfiguration.ranks
    private val ratesByAccount = accounts.associate { it.name to it.rate }

    // Rates are comparable only if all accounts have one in the same unit.
    private val hasComparableRates =
        accounts.all { it.rate > 0.0 } && accounts.map { it.countsTokens }.distinct().size == 1

    fun isActive(service: String): Boolean = configuration.services[service]?.engine != null &&
        (accounts.size > 1 || ranks.countAt(service) > 1)

    /** Returns the rank up to which late requests of [service] are sent, or -1 if all have the same rank. */
    fun lateRank(service: String): Int = if (ranks.countAt(service) > 1) ranks.lastUrgentRank(service) else -1

    /** Returns the share of [account] in scarce capacity, relative to other accounts: its rate, or 1. */
    fun weight(account: String): Double = if (hasComparableRates) ratesByAccount[account] ?: 1.0 else 1.0
}
