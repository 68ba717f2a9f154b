package org.celerywalk.booking

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.withEdgecases
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against bookings that use up the table's write capacity, which other components need too. */
class WriteBudgetTest {
    @Test
    fun `all agents together stay within the writes allowed for bookings`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 200, iterations = 50), Arb.int(1..400).withEdgecases(1, 400)) { agentCount ->
                val time = TestTimeSource()
                val budgets = List(agentCount) { WriteBudget(time).apply { setAgentCount(agentCount) } }
                var writes = 0
                repeat(STEP_COUNT) {
                    budgets.forEach { budget -> while (budget.tryAcquireBooking() == null) writes += 2 }
                    time += STEP_DURATION
                }
                val maxWrites = 200 * SECONDS + 4 * agentCount
                assertTrue(writes in maxWrites / 2..maxWrites, "$writes writes in $SECONDS s, allowed $maxWrites")
            }
        }
    }

    @Test
    fun `a refused booking is admitted after the returned time`() {
        val time = TestTimeSource()
        val budget = WriteBudget(time).apply { setAgentCount(100) }
        repeat(2) { assertEquals(null, budget.tryAcquireBooking()) }
        time += checkNotNull(budget.tryAcquireBooking())
        assertEquals(null, budget.tryAcquireBooking())
    }

    private companion object {
        const val SECONDS = 10
        const val STEP_COUNT = 1_000

        // Short enough that a single agent, which gets all writes, does not refill its burst within a step.
        val STEP_DURATION = 10.milliseconds
    }
}
