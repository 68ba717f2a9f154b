package org.celerywalk.fleet

import org.celerywalk.route.Route
import kotlin.math.max
import kotlin.time.Duration

/** Checks the configuration of a fleet for errors, for entries that never match and for contradictory limits. */
public class FleetConfigurationCheck(private val configuration: FleetConfiguration) {
    private val findings = FindingCollector()

    /**
     * Returns all findings, errors first.
     *
     * @param leftOutEntries entries of the document that are not in the configuration, each with the reason.
     */
    public fun findings(leftOutEntries: List<String> = emptyList()): List<FleetFinding> {
        leftOutEntries.forEach { findings.error("document", it) }
        findings.requirePositive("limits", "header limit", configuration.limits.maxHeaderBytes)
        findings.requirePositive("limits", "body limit", configuration.limits.maxBodyBytes)
        configuration.routes.forEach(::checkRoute)
        checkDuplicateRoutes()
        configuration.services.values.forEach(::checkService)
        configuration.accounts?.let(::checkAccounts)
        return findings.takeAll().sortedBy { it.severity }
    }

    private fun checkRoute(route: Route) {
        val subject = "route ${route.name}"
        if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
            findings.error(subject, "prefix '${route.prefix}' does not begin and end with a slash")
        }
        route.targets.map { it.service }.distinct().filter { it !in configuration.services }
            .forEach { findings.error(subject, "unknown service '$it'") }
        route.targets.filter { it.weight < 0 }
            .forEach { findings.error(subject, "weight ${it.weight} of service '${it.service}' is negative") }
        if (route.targets.sumOf { it.weight.toLong() } == 0L) findings.error(subject, "weights sum to 0")
        checkRouteLimits(subject, route)
    }

    private fun checkRouteLimits(subject: String, route: Route) {
        findings.requirePositive(subject, "timeout", route.timeout.inWholeMicroseconds)
        findings.requirePositive(subject, "latency target", route.latencyTarget.inWholeMicroseconds)
        findings.requirePositive(subject, "maximum of attempts", route.maxAttempts)
        // Only streams have a gap target; it is 0 elsewhere.
        findings.requireNotNegative(subject, "gap target", route.gapTarget.inWholeMicroseconds)
        findings.requireNotNegative(subject, "priority", route.priority)
        if (route.timeout > Duration.ZERO && route.latencyTarget > route.timeout) {
            findings.warn(subject, "latency target ${route.latencyTarget} is above timeout ${route.timeout}")
        }
        if (route.isResumable && route.maxAttempts == 1) {
            findings.warn(subject, "resumable has no effect, since the route allows one attempt")
        }
    }

    private fun checkDuplicateRoutes() {
        configuration.routes.groupBy { it.name }.filterValues { it.size > 1 }
            .forEach { (name, routes) -> findings.error("route $name", "is defined ${routes.size} times") }
        // The first route of a host and prefix receives the requests; hosts are compared without case.
        configuration.routes.groupBy { it.host.lowercase() to it.prefix }.values.forEach { routes ->
            val first = routes.first().name
            routes.drop(1).forEach {
                findings.warn("route ${it.name}", "never matches; route $first has the same host and prefix")
            }
        }
    }

    private fun checkService(service: ServiceDefinition) {
        val subject = "service ${service.name}"
        findings.requirePositive(subject, "maximum of connections", service.maxConnections)
        service.engine?.let { engine ->
            findings.requirePositive(subject, "slots", engine.slots)
            findings.requirePositive(subject, "KV cache capacity", engine.cacheTokens)
            findings.requirePositive(subject, "KV cache bytes per token", engine.bytesPerToken)
            findings.requirePositive(subject, "link bandwidth", engine.linkMegabitsPerSecond)
        }
        // Gateways call a KV cache store without a route.
        val isRouted = configuration.routes.any { route -> route.targets.any { it.service == service.name } }
        if (!isRouted && service.cacheStore == null) findings.warn(subject, "no route sends requests to it")
    }

    private fun checkAccounts(accounts: List<AccountDefinition>) {
        accounts.groupBy { it.name }.filterValues { it.size > 1 }
            .forEach { (name, same) -> findings.error("account $name", "is defined ${same.size} times") }
        accounts.forEach(::checkQuota)
        // The last account with a key gets its requests. A finding names the position of a key, since keys are secrets.
        val holders = HashMap<String, AccountDefinition>()
        accounts.asReversed().forEach { account ->
            account.keys.forEachIndexed { index, key ->
                val holder = holders.getOrPut(key) { account }
                if (holder !== account) {
                    findings.warn("account ${account.name}", "key ${index + 1} never matches; ${holder.name} has it")
                }
            }
        }
    }

    private fun checkQuota(account: AccountDefinition) {
        val subject = "account ${account.name}"
        findings.requireNotNegative(subject, "rate", account.rate)
        findings.requireNotNegative(subject, "burst", account.burst)
        findings.requirePositive(subject, "default cost", account.defaultCost)
        account.priority?.let { findings.requireNotNegative(subject, "priority", it) }
        val largestCost = largestRequestCost(account)
        if (account.rate == 0.0 && account.burst > 0) {
            findings.warn(subject, "burst ${account.burst} has no effect, since a rate of 0 means no limit")
        } else if (account.rate > 0 && account.burst >= 0 && account.burst < largestCost) {
            findings.warn(subject, "burst ${account.burst} is below the cost of the largest request, $largestCost")
        }
    }

    private fun largestRequestCost(account: AccountDefinition): Long =
        if (account.countsTokens) max(account.defaultCost, configuration.limits.maxBodyBytes / BYTES_PER_TOKEN) else 1

    private companion object {
        // Usual length of a token of English text, in bytes.
        const val BYTES_PER_TOKEN = 4L
    }
}
