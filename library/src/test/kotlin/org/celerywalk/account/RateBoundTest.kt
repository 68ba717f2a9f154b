package org.celerywalk.account

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against a client account that exceeds its rate and burst over all instances together when instances restart,
 * pause or leave, when clocks drift, and when the table or messages between instances fail.
 */
@OptIn(ExperimentalKotest::class)
internal class RateBoundTest {
    private val config = PropTestConfig(seed = 20_261_204, iterations = 400)

    @Test
    fun `all instances together admit at most burst plus rate times t under faults`(): Unit = runBlocking {
        var admittedRequests = 0
        checkAll(config, Arb.long()) { seed ->
            val random = Random(seed)
            val rate = AccountRate(random.nextLong(50, 2_000), random.nextLong(1_000, 20_000))
            val schedule = RateSchedule(random, rate, entries = 3)
            schedule.run(actions = 600)
            admittedRequests += schedule.admittedRequests.size
            assertTrue(
                schedule.largestExcessTokens() <= ROUNDING_TOKENS,
                "seed $seed: ${schedule.largestExcessTokens()} tokens over burst + rate × t with $rate",
            )
            assertTrue(
                schedule.largestWeightSum <= WHOLE_SHARE_MILLIONTHS,
                "seed $seed: weights ${schedule.largestWeightSum}",
            )
        }
        assertTrue(admittedRequests > config.iterations!! * 10, "only $admittedRequests requests were admitted")
    }

    @Test
    fun `a restarted instance does not start with a full bucket`() {
        val rate = AccountRate(tokensPerSecond = 100, burstTokens = 10_000)
        val schedule = RateSchedule(Random(1), rate, entries = 1)
        repeat(5) {
            schedule.entries[0] = schedule.Entry("entry-0")
            repeat(4) { schedule.entries[0].updateLease() }
            schedule.advance(1.seconds)
            repeat(50) { schedule.entries[0].admit(tokens = 50) }
        }
        assertTrue(
            schedule.admittedRequests.size in 1..10,
            "${schedule.admittedRequests.size} requests of 50 tokens in 5 s at 100/s",
        )
    }

    @Test
    fun `a new incarnation reserves capacity for loans that its predecessor granted`() {
        val clock = TestTimeSource()
        val bucket = AccountBucket(AccountRate(tokensPerSecond = 10_000, burstTokens = 10_000), clock)
        bucket.resize(weight = 1.0, AccountRate(tokensPerSecond = 10_000, burstTokens = 10_000))
        clock += 4.seconds
        assertEquals(5_000.0, bucket.availableTokens)
        clock += 4.seconds
        assertTrue(bucket.availableTokens > 9_000.0)
    }

    @Test
    fun `a leaving instance keeps the share that covers its loans until they expire`() {
        val schedule = RateSchedule(Random(3), AccountRate(tokensPerSecond = 10_000, burstTokens = 10_000), entries = 2)
        schedule.losesMessages = false
        schedule.reachSteadyState()
        val (lender, borrower) = schedule.entries
        borrower.admit(tokens = 6_000)
        borrower.admit(tokens = 1_000)
        schedule.openRequests.toList().forEach { schedule.settle(it, usedTokens = 0) }
        lender.leaseManager.leave()
        repeat(40) {
            schedule.advance(100.milliseconds)
            schedule.entries.forEach { it.updateLease() }
        }
        repeat(200) { borrower.admit(tokens = 100) }
        assertTrue(
            schedule.largestExcessTokens() <= ROUNDING_TOKENS,
            "${schedule.largestExcessTokens()} tokens over the bound",
        )
    }

    @Test
    fun `an account whose traffic goes through a single entry gets nearly its full rate`() {
        val schedule = RateSchedule(Random(2), AccountRate(tokensPerSecond = 1_000, burstTokens = 4_000), entries = 3)
        schedule.losesMessages = false
        schedule.reachSteadyState()
        val previousCount = schedule.admittedRequests.size
        repeat(600) {
            schedule.advance(100.milliseconds)
            schedule.entries[0].admit(tokens = 90)
            if (it % 10 == 0) schedule.entries.forEach { entry -> entry.updateLease() }
        }
        val admittedShare = (schedule.admittedRequests.size - previousCount) / 600.0
        assertTrue(admittedShare >= 0.995, "$admittedShare of the requests at 90 % of the rate were admitted")
    }

    private companion object {
        const val ROUNDING_TOKENS = 1e-3
    }
}
