package org.celerywalk.fleet

import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import org.celerywalk.route.RouteTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against accounts' priorities that hide the difference between urgent and less urgent routes. */
class RequestRanksTest {
    private val question = route("question", priority = 0)
    private val label = route("label", priority = 2)
    private val first = account("first", priority = 0)
    private val second = account("second", priority = 1)
    private val plain = account("plain", priority = null)

    @Test
    fun `the account's priority goes first and the route's decides among equals`() {
        val ranks = ranks(first, second)
        val order = listOf(first to question, first to label, second to question, second to label)
        assertEquals(listOf(0, 1, 2, 3), order.map { (account, route) -> ranks.rankOf("s", route, account) })
        assertEquals(2, ranks.lastUrgentRank("s"))
    }

    @Test
    fun `without priorities of accounts the route decides`() {
        val ranks = ranks(plain)
        assertEquals(listOf(0, 1), listOf(question, label).map { ranks.rankOf("s", it, plain) })
        assertEquals(2, ranks.countAt("s"))
        assertEquals(0, ranks.countAt("unknown"))
    }

    private fun ranks(vararg accounts: AccountDefinition) = RequestRanks(
        FleetConfiguration(
            version = 1,
            routes = listOf(question, label),
            services = mapOf("s" to ServiceDefinition("s", 9, null, null)),
            accounts = accounts.toList(),
            limits = CallerLimits(1, 1),
        ),
    )

    private fun account(name: String, priority: Int?) =
        AccountDefinition(name, listOf("k-$name"), priority, false, true, 1, 1.0, 1.0)

    private fun route(name: String, priority: Int) = Route(
        name, "h", "/$name/", RequestKind.STREAMING, listOf(RouteTarget("s", 1)),
        4.seconds, 1.seconds, 1.seconds, priority, 1, false, false,
    )
}
