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
    private val ranksByService = configuration.services.keys.associateWith(::findRanks)
    private val ratesByAccount = accounts.associate { it.name to it.rate }

    // Rates are comparable only if all accounts have one in the same unit.
    private val hasComparableRates =
        accounts.all { it.rate > 0.0 } && accounts.map { it.countsTokens }.distinct().size == 1

    fun isActive(service: String): Boolean = configuration.services[service]?.engine != null &&
        (accounts.size > 1 || ranksByService.getValue(service).size > 1)

    /** Returns the rank up to which late requests of [service] are sent, or -1 if all have the same rank. */
    fun lateRank(service: String): Int = ranksByService.getValue(service).takeIf { it.size > 1 }?.min() ?: -1

    /**
     * Returns the priority at the replicas of a late request of [rank]: behind those in time of its rank, which it
     * would make late too, and ahead of less urgent ones. It is [rank] itself if the next number is another rank.
     */
    fun latePriority(service: String, rank: Int): Int =
        if (rank + 1 in ranksByService.getValue(service) || rank == AdmittedRequest.LOWEST_RANK) rank else rank + 1

    /** Returns the share of [account] in scarce capacity, relative to other accounts: its rate, or 1. */
    fun weight(account: String): Double = if (hasComparableRates) ratesByAccount[account] ?: 1.0 else 1.0

    private fun findRanks(service: String): Set<Int> {
        val routes = configuration.routes.filter { route -> route.targets.any { it.service == service } }
        val keyless = if (accounts.isEmpty() || accounts.any { it.priority == null }) {
            routes
        } else {
            routes.filter { it.allowsAnonymous }
        }
        return accounts.mapNotNull { it.priority }.toSet() + keyless.map { it.priority }
    }
}
