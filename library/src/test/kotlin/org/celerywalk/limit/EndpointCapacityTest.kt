package org.celerywalk.limit

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against limits that ignore an overload, never recover, or cost capacity for no gain. */
class EndpointCapacityTest {
    private val time = TestTimeSource()
    private val limit = AdaptiveConcurrencyLimit(time, SLOTS)
    private val capacities = EndpointCapacities(time)

    @Test
    fun `the limit falls while calls take longer, no further than half of the slots, and recovers`() {
        answer(windows = 5, millis = 50)
        val before = limit.limit
        answer(windows = 10, millis = 200)
        assertTrue(limit.limit < before && limit.limit >= SLOTS / 2, "${limit.limit}")
        answer(windows = 10, millis = 50)
        assertTrue(limit.limit >= SLOTS, "${limit.limit}")
    }

    @Test
    fun `the limit falls to one call if most calls are rejected, and recovers`() {
        repeat(50) {
            time += 20.milliseconds
            limit.recordSample(1.milliseconds, SLOTS, wasRejected = true)
        }
        assertEquals(1, limit.limit)
        answer(windows = 10, millis = 50)
        assertEquals(SLOTS, limit.limit)
    }

    @Test
    fun `few rejections by an endpoint with all its slots do not lower the limit`() {
        repeat(400) {
            time += 20.milliseconds
            limit.recordSample(50.milliseconds, SLOTS, wasRejected = it % 10 == 0)
        }
        assertEquals(SLOTS, limit.limit)
    }

    @Test
    fun `a gateway uses only its share until it has heard of the other gateways`() {
        val capacity = EndpointCapacity(time, SLOTS)
        assertEquals(listOf(true, true, false), (0..2).map { capacity.hasRoom(it, it, gatewayCount = 3) })
        time += 2.seconds
        assertTrue(capacity.hasRoom(2, 5, gatewayCount = 3))
        assertFalse(capacity.hasRoom(2, SLOTS, gatewayCount = 3))
    }

    @Test
    fun `a gateway can always use its share, at least one call`() {
        val capacity = EndpointCapacity(time, SLOTS)
        time += 2.seconds
        assertTrue(capacity.hasRoom(0, 2 * SLOTS, gatewayCount = 100))
        assertFalse(capacity.hasRoom(1, 2 * SLOTS, gatewayCount = 100))
    }

    @Test
    fun `an outlier is slow until its measurement is old, then it is tried with one call`() {
        val all = listOf(50, 55, 300).mapIndexed { i, millis ->
            capacities.getOrCreate("$i", SLOTS).also { endpoint ->
                repeat(10) { endpoint.recordAnswer(millis.milliseconds, 1) }
            }
        }
        fun slowness(number: Int, ownCalls: Int) = capacities.slowness(all[number], "s", ownCalls) { all }
        assertEquals(listOf(1.0, 1.0, 6.0), all.indices.map { slowness(it, ownCalls = 0) })
        time += 3.seconds
        assertEquals(listOf(1.0, 6.0), listOf(0, 1).map { slowness(2, ownCalls = it) })
    }

    private fun answer(windows: Int, millis: Int) = repeat(windows * 10) {
        time += 12.milliseconds
        limit.recordSample(millis.milliseconds, SLOTS, wasRejected = false)
    }

    private companion object {
        const val SLOTS = 6
    }
}
