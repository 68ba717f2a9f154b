package org.celerywalk.route

import kotlin.random.Random

/** Looks up the route of a request by host and longest matching path prefix. */
public class RouteTable(routes: List<Route>) {
    private val byHost: Map<String, List<Route>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }

    /** Returns the route for [host], with or without a port, and the raw [path], or null if no route matches. */
    public fun find(host: String, path: String): Route? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
}

/** Selects one of the route's services at random, in proportion to their weights. */
public fun Route.selectService(random: Random): String {
    val totalWeight = targets.sumOf { it.weight }
    if (targets.size == 1 || totalWeight <= 0) return targets.first().service
    var remainingWeight = random.nextInt(totalWeight)
    return targets.first { target ->
        remainingWeight -= target.weight
        remainingWeight < 0
    }.service
}
