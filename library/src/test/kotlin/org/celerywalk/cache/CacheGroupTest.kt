package org.celerywalk.cache

import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.fleet.CallerLimits
import org.celerywalk.fleet.FleetConfiguration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Guards against requests that use KV cache of an account that is or has become isolated (WALL, review case 9). */
class CacheGroupTest {
    @Test
    fun `accounts share KV cache unless one of them is isolated`() {
        val open = configuration()
        assertEquals(open.cacheGroupOf("a"), open.cacheGroupOf("b"))
        assertEquals(open.cacheGroupOf("a"), open.cacheGroupOf(null))
        val walled = configuration("a")
        assertNotEquals(walled.cacheGroupOf("a"), walled.cacheGroupOf("b"))
        assertEquals(walled.cacheGroupOf("b"), walled.cacheGroupOf("c"))
        assertNotEquals(configuration("a", "b").cacheGroupOf("a"), configuration("a", "b").cacheGroupOf("b"))
    }

    @Test
    fun `the group follows from the configuration, whatever the process has read before`() {
        assertEquals(configuration("a", "b").cacheGroupOf("c"), configuration("b", "a").cacheGroupOf("d"))
        assertEquals(configuration().cacheGroupOf("a").value, "")
    }

    @Test
    fun `names of accounts and versions can't make two scopes equal`() {
        val names = listOf("a", "b", "a/b", "", "v1", "-1", "/a", "a,b", CacheGroup.without(setOf("a")).value)
        val groups = names.map { CacheGroup.only(it) } +
            names.map { CacheGroup.without(setOf(it)) } +
            listOf(CacheGroup.without(setOf("a", "b")), CacheGroup.EVERYONE)
        val scopes = groups.flatMap { group -> listOf(1, 11).map { CacheScope.of("m", it, group) } }
        assertEquals(scopes.size, scopes.toSet().size)
    }

    // Each gateway has some version, as while versions differ or the store comes back older; accounts turn isolated and
    // back. The reader's configuration decides.
    @Test
    fun `nothing that is read was made by an account that is isolated for its reader`() = repeat(SEEDS) { seed ->
        val random = Random(seed)
        val versions = List(VERSIONS) { configuration(*ACCOUNTS.filter { random.nextInt(4) == 0 }.toTypedArray()) }
        val cache = HashMap<String, MutableSet<String?>>()
        repeat(REQUESTS) {
            val configuration = versions.random(random)
            val account = (ACCOUNTS + null).random(random)
            val scope = CacheScope.of("m", 1, configuration.cacheGroupOf(account)).value
            val foreign = cache[scope].orEmpty().filter { it != account }
            assertTrue(
                foreign.none { configuration.isIsolated(it) } &&
                    (foreign.isEmpty() || !configuration.isIsolated(account)),
                "seed $seed: $account reads $scope",
            )
            cache.getOrPut(scope) { mutableSetOf() } += account
        }
    }

    private fun FleetConfiguration.isIsolated(account: String?) =
        accounts.orEmpty().any { it.name == account && it.isIsolated }

    private fun configuration(vararg isolated: String) = FleetConfiguration(
        version = 1,
        routes = emptyList(),
        services = emptyMap(),
        accounts = (ACCOUNTS + isolated).distinct().map { account(it, it in isolated) }.shuffled(),
        limits = CallerLimits(1, 1),
    )

    private fun account(name: String, isIsolated: Boolean) = AccountDefinition(
        name = name,
        keys = emptyList(),
        priority = null,
        isIsolated = isIsolated,
        countsTokens = false,
        defaultCost = 1,
        rate = 0.0,
        burst = 0.0,
    )

    private companion object {
        val ACCOUNTS = listOf("a", "b", "c", "d", "e")
        const val SEEDS = 50
        const val VERSIONS = 6
        const val REQUESTS = 400
    }
}
