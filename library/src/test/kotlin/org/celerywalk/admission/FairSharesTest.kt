package org.celerywalk.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class FairSharesTest {
    private val clock = TestTimeSource()
    private val shares = FairShares(clock) { if (it == "heavy") 3.0 else 1.0 }

    /** Guards against an account that saves up service while it is idle, or pays for an old burst for ever. */
    @Test
    fun `a new account starts at the smallest active counter, and a burst is forgotten`() {
        shares.recordAdmitted("a", rank = 1, work = 8_000)
        shares.recordAdmitted("b", rank = 1, work = 4_000)
        clock += 5.seconds
        assertEquals(2_000.0, shares.counter("new"), 0.01)
        assertTrue(shares.isAboveShare("a"))
        clock += 40.seconds
        shares.recordAdmitted("b", rank = 1, work = 4_000)
        clock += 1.seconds
        assertFalse(shares.isAboveShare("a"))
        clock += 30.days
        assertEquals(0.0, shares.counter("b"))
    }

    /** Guards against an account that gets more because it comes through many gateways, or less than its weight. */
    @Test
    fun `service at other gateways counts by the account's own work per cost, divided by its weight`() {
        shares.recordCosts("heavy", ownTotalCost = 0.0, peerTotalCost = 500.0)
        shares.recordAdmitted("heavy", rank = 1, work = 3_000)
        shares.recordCosts("heavy", ownTotalCost = 2.0, peerTotalCost = 506.0)
        assertEquals(4_000.0, shares.counter("heavy"), 0.01)
        shares.recordCosts("heavy", ownTotalCost = 2.0, peerTotalCost = 506.0)
        assertEquals(4_000.0, shares.counter("heavy"), 0.01)
        assertEquals(ShareDescription("heavy:100%", "1:100%"), shares.describe())
    }

    /** Guards against callers that all return at the same time, or after the last of them has given up. */
    @Test
    fun `refused requests are told times that are spread at the rate at which work is admitted`() {
        val times = ReturnTimes(clock, Random(3))
        repeat(200) {
            times.recordAdmitted(work = 1_000)
            clock += 10.milliseconds
        }
        // About 50,000 tokens a second are counted after one half-life, so 20 requests take some 400 ms.
        val told = List(20) { times.next(work = 1_000, timeToRoom = 300.milliseconds) }
        assertTrue(told.min() >= 300.milliseconds, "$told")
        assertTrue(told.last() in 600.milliseconds..1_100.milliseconds, "$told")
        val later = List(1_000) { times.next(work = 1_000, timeToRoom = Duration.ZERO) }
        assertTrue(later.max() <= 5.seconds, "${later.max()}")
    }
}
