package org.celerywalk.route

import kotlin.random.Random

/** Finds the route of a request by host and longest path prefix. */
public class RouteTable(routes: List<Route>) {
    private val byHost: Map<String, List<Route>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, of) -> of.sortedByDescending { it.prefix.length } }

    /** Returns the route for [host], which may carry a port, and the raw [path], or null if none matches. */
    public fun find(host: String, path: String): Route? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
}

/** Draws one of the route's services by weight. */
public fun Route.drawService(random: Random): String {
    val total = targets.sumOf { it.weight }
    if (targets.size == 1 || total <= 0) return targets.first().service
    var left = random.nextInt(total)
    return targets.first { target ->
        left -= target.weight
        left < 0
    }.service
}
