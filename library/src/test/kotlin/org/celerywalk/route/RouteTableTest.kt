package org.celerywalk.route

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that are sent to a service other than the one that their route selects. */
class RouteTableTest {
    private val table =
        RouteTable(listOf(route("all", "/a/"), route("deep", "/a/b/"), route("other", "/a/", "two.test")))

    @Test
    fun `the longest matching path prefix of the host determines the route`() {
        val expected = mapOf(
            ("one.test" to "/a/b/c") to "deep",
            ("one.test" to "/a/bc") to "all",
            ("ONE.test:8080" to "/a/b/") to "deep",
            ("two.test" to "/a/b/c") to "other",
        )
        expected.forEach { (request, name) -> assertEquals(name, table.find(request.first, request.second)?.name) }
    }

    @Test
    fun `no route matches an unknown host or a path shorter than the prefix`() {
        assertNull(table.find("three.test", "/a/b/"))
        assertNull(table.find("one.test", "/a"))
    }

    @Test
    fun `the longest of many prefixes is found`() {
        val random = Random(7)
        val prefixes = List(300) { randomPath(random) }.distinct()
        val table = RouteTable(prefixes.map { route(it, it) })
        repeat(3_000) {
            val target = randomPath(random) + "x"
            val longest = prefixes.filter(target::startsWith).maxByOrNull { it.length }
            assertEquals(longest, table.find("one.test", target)?.name, target)
        }
    }

    @Test
    fun `services are selected in proportion to their weights`() {
        val split = route("split", "/s/").copy(targets = listOf(RouteTarget("x", 90), RouteTarget("y", 10)))
        val random = Random(3)
        val selectedCount = List(10_000) { split.selectService(random) }.count { it == "y" }
        assertEquals(1_000.0, selectedCount.toDouble(), absoluteTolerance = 150.0)
    }

    @Test
    fun `only idempotent requests and resumable streams may run more than once`() {
        val base = route("r", "/r/")
        assertEquals(true, base.isRetryable)
        assertEquals(false, base.copy(kind = RequestKind.NON_IDEMPOTENT).isRetryable)
        assertEquals(false, base.copy(kind = RequestKind.STREAMING).isRetryable)
        assertEquals(true, base.copy(kind = RequestKind.STREAMING, isResumable = true).isRetryable)
    }

    private fun route(name: String, prefix: String, host: String = "one.test") = Route(
        name = name,
        host = host,
        prefix = prefix,
        kind = RequestKind.IDEMPOTENT,
        targets = listOf(RouteTarget("service", 1)),
        timeout = 1.seconds,
        latencyTarget = 1.seconds,
        gapTarget = 1.seconds,
        priority = 0,
        maxAttempts = 2,
        allowsAnonymous = false,
        isResumable = false,
    )

    private fun randomPath(random: Random) =
        List(random.nextInt(4)) { listOf("a", "b", "ab", "").random(random) }.joinToString("/", "/", "/")
}
