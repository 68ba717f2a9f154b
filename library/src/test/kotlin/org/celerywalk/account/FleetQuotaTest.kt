package org.celerywalk.account

import io.kotest.common.ExperimentalKotest
import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against exceeding an account's quota: a hot account sends several times its rate through all gateways at once,
 * while each gateway learns only from periodic reports what the other gateways have admitted.
 */
@OptIn(ExperimentalKotest::class)
class FleetQuotaTest {
    private val time = TestTimeSource()

    @Test
    fun `in any window all gateways admit at most rate plus burst plus the cost not yet reported`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 41, iterations = 100), Arb.list(Arb.int(0..3), 200..400)) { senders ->
                val gateways = List(GATEWAYS) { quota() }
                val admitted = ArrayList<Pair<Int, Double>>()
                senders.forEachIndexed { step, sender ->
                    time += STEP
                    // The account sends ten times its rate.
                    if (gateways[sender].admit(COST) is QuotaDecision.Admitted) admitted += step to COST
                    if (step % STEPS_PER_REPORT == 0) exchangeReports(gateways)
                }
                val window = 8.seconds
                val steps = (window / STEP).toInt()
                val unreportedCost = STEPS_PER_REPORT * COST
                senders.indices.forEach { from ->
                    val windowCost = admitted.filter { it.first in from until from + steps }.sumOf { it.second }
                    assertTrue(
                        windowCost <= RATE * 8 + BURST + unreportedCost,
                        "$windowCost admitted in the window from step $from",
                    )
                }
            }
        }
    }

    @Test
    fun `a refused request is admitted after the retry delay of its refusal`() {
        val quota = quota()
        while (quota.admit(COST) is QuotaDecision.Admitted) continue
        val refused = assertIs<QuotaDecision.Refused>(quota.admit(COST))
        time += refused.retryAfter + 1.milliseconds
        assertIs<QuotaDecision.Admitted>(quota.admit(COST))
    }

    @Test
    fun `the next report corrects for a lost report`() {
        val quota = quota()
        quota.recordPeerTotal("peer", 0.0)
        quota.recordPeerTotal("peer", BURST)
        assertIs<QuotaDecision.Refused>(quota.admit(COST))
    }

    @Test
    fun `the cost of a request that was not run is refunded`() {
        val quota = quota()
        repeat((BURST / COST).toInt()) { assertEquals(QuotaDecision.Admitted, quota.admit(COST)) }
        quota.refund(COST)
        assertIs<QuotaDecision.Admitted>(quota.admit(COST))
        assertIs<QuotaDecision.Refused>(quota.admit(COST))
    }

    @Test
    fun `a gateway that is partitioned from its peers uses only its share`() {
        val quota = FleetQuota(time) { 0.5 }.apply { configure(RATE, BURST, initialFillFraction = 0.0) }
        time += 10.seconds
        var admitted = 0.0
        while (quota.admit(COST) is QuotaDecision.Admitted) admitted += COST
        assertTrue(admitted <= BURST / 2, "$admitted of $BURST")
    }

    private fun quota() = FleetQuota(time) { 1.0 }.apply { configure(RATE, BURST, initialFillFraction = 1.0) }

    private fun exchangeReports(gateways: List<FleetQuota>) = gateways.forEachIndexed { i, to ->
        gateways.forEachIndexed { j, from -> if (i != j) to.recordPeerTotal("gateway-$j", from.totalAdmittedCost) }
    }

    private companion object {
        const val GATEWAYS = 4
        const val RATE = 1_000.0
        const val BURST = 1_000.0
        const val COST = 100.0
        const val STEPS_PER_REPORT = 10
        val STEP = 10.milliseconds
    }
}
