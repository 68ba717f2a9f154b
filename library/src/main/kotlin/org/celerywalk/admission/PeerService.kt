package org.celerywalk.admission

import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Converts the quota cost that other gateways admit to service.
 *
 * Quotas may count requests, so a cost is converted by the work that this gateway has admitted at its own cost. Not
 * thread-safe.
 */
internal class PeerService(timeSource: TimeSource.WithComparableMarks, halfLife: Duration) {
    private class Totals(val own: Double, val peers: Double)

    private val lastTotals = HashMap<String, Totals>()
    private val ownCosts = DecayingTotals<String>(timeSource, halfLife)
    private val ownWork = DecayingTotals<String>(timeSource, halfLife)

    /** Adds [work] that this gateway admits. */
    fun recordOwnWork(account: String, work: Double): Unit = ownWork.add(account, work)

    /** Returns the work that the other gateways have admitted since the last call for [account]. */
    fun convert(account: String, ownTotalCost: Double, peerTotalCost: Double): Double {
        val last = lastTotals.put(account, Totals(ownTotalCost, peerTotalCost)) ?: Totals(ownTotalCost, peerTotalCost)
        ownCosts.add(account, ownTotalCost - last.own)
        val peerCost = (peerTotalCost - last.peers).coerceAtLeast(0.0)
        val ownCost = ownCosts[account]
        return if (ownCost > 0.0) peerCost * ownWork[account] / ownCost else 0.0
    }
}
