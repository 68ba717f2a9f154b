package org.celerywalk.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against calls to replicas whose number grows with the product of instances and replicas. */
class ResponsibleInstanceTest {
    private val holders = List(72) { "i-$it" }

    @Test
    fun `each cache has one reader however many instances there are`() {
        listOf(1, 2, 5, 29, 360).forEach { count ->
            val instances = List(count) { "edge-$it" }
            holders.forEach { holder ->
                val readers = instances.count { ResponsibleInstance.isResponsible(it, holder, instances - it) }
                assertEquals(1, readers, "$count instances")
            }
        }
    }

    @Test
    fun `a single instance reads all caches`() {
        assertTrue(holders.all { ResponsibleInstance.isResponsible("edge-1", it, emptyList()) })
    }

    @Test
    fun `no instance reads much more than its part`() {
        val instances = List(29) { "edge-$it" }
        val mostCaches = instances.maxOf { own ->
            holders.count { ResponsibleInstance.isResponsible(own, it, instances - own) }
        }
        assertTrue(mostCaches <= 4 * holders.size / instances.size, "one instance reads $mostCaches caches")
    }
}
