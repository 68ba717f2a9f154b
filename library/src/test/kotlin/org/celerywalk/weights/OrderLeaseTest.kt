package org.celerywalk.weights

import io.kotest.common.ExperimentalKotest
import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against two processes that give orders to the same endpoints by turns. */
@OptIn(ExperimentalKotest::class)
class OrderLeaseTest {
    @Test
    fun `orders of two holders lie further apart than the lease, and terms only grow`() {
        val steps = Arb.list(Arb.pair(Arb.int(0..2), Arb.int(0..3_000)), 10..80)
        runBlocking {
            checkAll(PropTestConfig(seed = 17, iterations = 500), steps) { schedule ->
                val policies = List(3) { LeasePolicy("gateway-$it", TAKE_OVER_MILLIS) }
                var record: OrderLease? = null
                var now = 0L
                val orders = ArrayList<Triple<Long, Int, Long>>()
                schedule.forEach { (process, pause) ->
                    now += pause
                    val step = policies[process].next(record, now)
                    if (step is LeaseStep.Write) {
                        record = step.lease
                        policies[process].written(step.lease)
                        // The order arrives up to the validity of the renewal later.
                        orders += Triple(now + pause % VALID_MILLIS, process, step.lease.term)
                    }
                }
                orders.zipWithNext { (at, process, term), (nextAt, nextProcess, nextTerm) ->
                    assertTrue(nextTerm >= term, "term $nextTerm after $term")
                    if (process != nextProcess) assertTrue(nextAt - at >= LEASE_MILLIS, "turns after ${nextAt - at} ms")
                    if (process != nextProcess) assertTrue(nextTerm > term, "two holders with term $term")
                }
            }
        }
    }

    @Test
    fun `a restarted holder takes a new term`() {
        val step = LeasePolicy("a", TAKE_OVER_MILLIS).next(OrderLease("a", 4, 1_000), 1_100)
        assertEquals(LeaseStep.Write(OrderLease("a", 5, 1_100)), step)
    }

    private companion object {
        const val LEASE_MILLIS = 3_000L
        const val TAKE_OVER_MILLIS = 5_000L
        const val VALID_MILLIS = 700L
    }
}
