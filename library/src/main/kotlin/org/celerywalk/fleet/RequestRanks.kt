package org.celerywalk.fleet

import org.celerywalk.route.Route

/**
 * Ranks of the requests of a [configuration] at each service; 0 is the most urgent.
 *
 * An account's priority takes precedence over those of routes. Among requests of the same account priority, the route's
 * priority decides, so that a burst of a less urgent kind does not delay an urgent one.
 */
public class RequestRanks(configuration: FleetConfiguration) {
    private data class Urgency(val precedence: Int, val routePriority: Int)

    private val accountPriorities = configuration.accounts.orEmpty().map { it.priority }.distinct()
    private val urgenciesByService = configuration.services.keys.associateWith { service ->
        configuration.routes.filter { route -> route.targets.any { it.service == service } }
            .flatMap { route -> possibleUrgencies(route) }
            .distinct()
            .sortedWith(compareBy({ it.precedence }, { it.routePriority }))
    }

    /** Returns the number of different ranks that requests can have at [service]. */
    public fun countAt(service: String): Int = urgenciesByService[service]?.size ?: 0

    /** Returns the rank at [service] of a request of [route] and [account], which is null without a key. */
    public fun rankOf(service: String, route: Route, account: AccountDefinition?): Int =
        urgenciesByService[service]?.indexOf(urgency(route, account?.priority))?.coerceAtLeast(0) ?: 0

    /** Returns the last rank at [service] that a request of its most urgent routes can have, or -1 if it has none. */
    public fun lastUrgentRank(service: String): Int {
        val urgencies = urgenciesByService[service].orEmpty()
        val mostUrgent = urgencies.minOfOrNull { it.routePriority }
        return urgencies.indexOfLast { it.routePriority == mostUrgent }
    }

    private fun possibleUrgencies(route: Route): List<Urgency> {
        val isKeyless = accountPriorities.isEmpty() || route.allowsAnonymous
        val priorities = if (isKeyless) accountPriorities + null else accountPriorities
        return priorities.map { urgency(route, it) }
    }

    private fun urgency(route: Route, accountPriority: Int?) =
        Urgency(accountPriority ?: route.priority, route.priority)
}
