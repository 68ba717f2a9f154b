package org.celerywalk.instance

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against calls to the store that grow with the fleet, and against a fleet in which no instance watches it. */
class StoreWatchTest {
    @Test
    fun `a few instances watch the store, however many there are`() {
        listOf(7, 33, 100, 357, 1_000).forEach { size ->
            val watchers = watchersAmong(List(size) { "edge-$it" })
            assertTrue(watchers.size in 2..4, "$size instances, watchers $watchers")
        }
    }

    @Test
    fun `every instance of a small fleet, or that hears from few peers, watches the store`() {
        assertEquals(5, watchersAmong(List(5) { "edge-$it" }).size)
        assertTrue(StoreWatch("edge-0") { emptySet() }.isWatcher)
    }

    @Test
    fun `another instance watches the store after the watchers have ended`() {
        val instances = List(33) { "edge-$it" }
        val left = instances - watchersAmong(instances).toSet()
        assertTrue(watchersAmong(left).isNotEmpty())
    }

    private fun watchersAmong(instances: List<String>) =
        instances.filter { instance -> StoreWatch(instance) { instances.toSet() - instance }.isWatcher }
}
