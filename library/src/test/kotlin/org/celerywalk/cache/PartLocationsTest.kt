package org.celerywalk.cache

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against placing a request by prompt parts that a holder has evicted or lost in a restart. */
class PartLocationsTest {
    private val time = TestTimeSource()
    private val locations = PartLocations(time, sentPartTtl = 2.seconds)
    private val scope = CacheScope.of("m", 1, CacheGroup.EVERYONE)
    private val parts = listOf(PromptPart("a", 800), PromptPart("b", 410), PromptPart("c", 250))

    @Test
    fun `only an unbroken prefix counts, and a part may lack an incomplete last block`() {
        locations.applyCacheEvent("r", scope.value, "a", 800)
        locations.applyCacheEvent("r", scope.value, "c", 250)
        assertEquals(800, locations.prefixTokens("r", scope, parts))
        locations.applyCacheEvent("r", scope.value, "b", 400)
        assertEquals(1_450, locations.prefixTokens("r", scope, parts))
    }

    @Test
    fun `a partly evicted part ends the prefix`() {
        parts.forEach { locations.applyCacheEvent("r", scope.value, it.id, it.tokens) }
        locations.applyCacheEvent("r", scope.value, "a", 128)
        assertEquals(128, locations.prefixTokens("r", scope, parts))
    }

    @Test
    fun `parts that were sent count for 2 s, and not after an eviction or a restart of the holder`() {
        locations.recordSent("r", scope, parts)
        assertEquals(1_460, locations.prefixTokens("r", scope, parts))
        assertEquals(0, locations.prefixTokens("r", scope, parts, minSentAge = 1.seconds))
        locations.applyCacheEvent("r", scope.value, "a", 0)
        assertEquals(0, locations.prefixTokens("r", scope, parts))
        locations.recordSent("r", scope, parts)
        time += 3.seconds
        assertEquals(0, locations.prefixTokens("r", scope, parts))
        locations.recordSent("r", scope, parts)
        locations.reset("r", epoch = 2)
        assertEquals(0, locations.prefixTokens("r", scope, parts))
    }

    @Test
    fun `scopes of other weights, of isolated accounts and of other models share no parts`() {
        locations.recordSent("r", scope, parts)
        listOf(
            CacheScope.of("m", 2, CacheGroup.EVERYONE),
            CacheScope.of("m", 1, CacheGroup.only("x")),
            CacheScope.of("m", 1, CacheGroup.without(setOf("x"))),
            CacheScope.of("n", 1, CacheGroup.EVERYONE),
        ).forEach {
            assertEquals(0, locations.prefixTokens("r", it, parts))
        }
    }
}
