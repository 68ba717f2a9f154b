package org.celerywalk.endpoint

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against weight orders from replaced agents, and against overload of the weight store.
 *
 * An agent that was paused may go on with an order after another agent took over its endpoint, and the store gets
 * overloaded if many replicas load weights at once. The schedules are generated.
 */
class WeightOrdersTest {
    @Test
    fun `orders are sent only with the current fencing token`() = onSchedules { schedule ->
        assertEquals(0, schedule.staleOrderCount, "orders of agents that were replaced more than 2 s before")
    }

    @Test
    fun `at most two replicas load weights at once`() = onSchedules { schedule ->
        assertTrue(schedule.maxConcurrentLoads <= 2, "${schedule.maxConcurrentLoads} engines loaded at once")
    }

    @Test
    fun `every engine ends with the desired weights although late orders of replaced agents changed them`() =
        onSchedules { schedule -> assertEquals(emptyList(), schedule.wrongWeights) }

    @Test
    fun `the schedules cause more than ten weight loads each on average`() {
        var loadCount = 0
        onSchedules { loadCount += it.loadCount }
        assertTrue(loadCount > SCHEDULE_COUNT * 10, "$loadCount loads")
    }

    private fun onSchedules(check: (OrderSchedule) -> Unit) {
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULE_COUNT), Arb.long()) { seed ->
                check(OrderSchedule(seed).apply { run() })
            }
        }
    }

    private companion object {
        const val SEED = 50_020L
        const val SCHEDULE_COUNT = 250
    }
}
