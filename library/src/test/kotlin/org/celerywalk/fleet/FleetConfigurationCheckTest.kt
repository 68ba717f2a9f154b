package org.celerywalk.fleet

import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import org.celerywalk.route.RouteTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetConfigurationCheckTest {
    @Test
    fun `each fault gives exactly its findings`() {
        // Guards against a check that misses a fault, reports it for another entry or with the wrong severity.
        val other = ROUTE.copy(name = "other", prefix = "/other/")
        val cases = listOf(
            VALID to "",
            withRoute { it.copy(targets = listOf(RouteTarget("x", 1), RouteTarget("s", 1))) } to "E route r: unknown",
            withRoute { it.copy(prefix = "/a") } to "E route r: prefix",
            withRoute { it.copy(prefix = "a/") } to "E route r: prefix",
            withRoute { it.copy(targets = listOf(RouteTarget("s", 0))) } to "E route r: weights sum to 0",
            withRoute { it.copy(targets = listOf(RouteTarget("s", -1))) } to "E route r: weight -1",
            withRoute { it.copy(timeout = 0.seconds) } to "E route r: timeout",
            withRoute { it.copy(latencyTarget = (-1).seconds) } to "E route r: latency target",
            withRoute { it.copy(maxAttempts = 0) } to "E route r: maximum of attempts",
            withRoute { it.copy(latencyTarget = 11.seconds) } to "W route r: latency target 11s",
            withRoute { it.copy(maxAttempts = 1) } to "W route r: resumable",
            VALID.copy(routes = listOf(ROUTE, other.copy(name = "r"))) to "E route r: is defined 2 times",
            VALID.copy(routes = listOf(ROUTE, other.copy(host = "H", prefix = "/"))) to "W route other: never matches",
            VALID.copy(routes = listOf(ROUTE, other)) to "",
            VALID.copy(services = VALID.services + ("t" to SERVICE.copy(name = "t"))) to "W service t: no route",
            VALID.copy(services = mapOf("s" to SERVICE.copy(maxConnections = 0))) to "E service s: maximum of",
            VALID.copy(limits = CallerLimits(0, 400)) to "E limits: header limit",
            withAccount { it.copy(rate = -1.0) } to "E account a: rate",
            withAccount { it.copy(rate = 0.0) } to "W account a: burst 100.0 has no effect",
            withAccount { it.copy(rate = 0.0, burst = 0.0) } to "",
            withAccount { it.copy(burst = 99.0) } to "W account a: burst 99.0 is below",
            withAccount { it.copy(burst = 1.0, countsTokens = false) } to "",
            withAccounts(ACCOUNT, ACCOUNT.copy(name = "b")) to "W account a: key 1 never matches; b",
            withAccounts(ACCOUNT, ACCOUNT.copy(keys = listOf("l"))) to "E account a: is defined 2 times",
        )
        cases.forEach { (configuration, expected) ->
            val findings = FleetConfigurationCheck(configuration).findings()
            val actual = findings.joinToString { "${it.severity.name.first()} ${it.subject}: ${it.problem}" }
            assertEquals(expected, actual.take(expected.length.takeIf { it > 0 } ?: actual.length))
            assertEquals(if (expected.isEmpty()) 0 else 1, findings.size, "$findings")
        }
    }

    @Test
    fun `differences name the entries and no keys`() {
        // Guards against an unreported change and against secrets in the output.
        val changed = VALID.copy(
            routes = listOf(ROUTE.copy(timeout = 9.seconds), ROUTE.copy(name = "new")),
            services = emptyMap(),
            accounts = listOf(ACCOUNT.copy(keys = listOf("secret"))),
        )
        val expected = listOf("+ route new", "~ route r", "- service s", "~ account a")
        assertEquals(expected, FleetDifference.between(VALID, changed))
        assertEquals(emptyList(), FleetDifference.between(VALID, VALID.copy(version = 2)))
    }

    private fun withRoute(change: (Route) -> Route) = VALID.copy(routes = listOf(change(ROUTE)))

    private fun withAccount(change: (AccountDefinition) -> AccountDefinition) = withAccounts(change(ACCOUNT))

    private fun withAccounts(vararg accounts: AccountDefinition) = VALID.copy(accounts = accounts.toList())

    private companion object {
        val ROUTE = Route(
            name = "r",
            host = "h",
            prefix = "/",
            kind = RequestKind.STREAMING,
            targets = listOf(RouteTarget("s", 1)),
            timeout = 10.seconds,
            latencyTarget = 1.seconds,
            gapTarget = 50.milliseconds,
            priority = 0,
            maxAttempts = 2,
            allowsAnonymous = false,
            isResumable = true,
        )
        val SERVICE = ServiceDefinition("s", maxConnections = 10, engine = null, cacheStore = null)
        val ACCOUNT = AccountDefinition(
            name = "a",
            keys = listOf("k"),
            priority = null,
            isIsolated = false,
            countsTokens = true,
            defaultCost = 1,
            rate = 10.0,
            burst = 100.0,
        )
        val VALID =
            FleetConfiguration(1, listOf(ROUTE), mapOf("s" to SERVICE), listOf(ACCOUNT), CallerLimits(100, 400))
    }
}
