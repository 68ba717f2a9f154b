package org.celerywalk.route

import kotlin.random.Random

/**
 * Looks up the route of a request by host and longest matching path prefix.
 *
 * A lookup takes one step for each segment of the path, however many routes there are.
 */
public class RouteTable(routes: List<Route>) {
    // The first of several routes with the same host and prefix counts.
    private val byHostAndPrefix: Map<String, Map<String, Route>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, hostRoutes) -> hostRoutes.asReversed().associateBy { it.prefix } }

    /** Returns the route for [host], with or without a port, and the raw [path], or null if no route matches. */
    public fun find(host: String, path: String): Route? {
        val byPrefix = byHostAndPrefix[host.substringBefore(':').lowercase()] ?: return null
        return generateSequence(path.lastIndexOf('/')) { path.lastIndexOf('/', it - 1) }
            .takeWhile { it >= 0 }
            .firstNotNullOfOrNull { byPrefix[path.substring(0, it + 1)] }
    }
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
