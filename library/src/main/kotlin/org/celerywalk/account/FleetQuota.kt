package org.celerywalk.account

import kotlin.math.max
import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Limits one client account to its rate and burst over all processes together.
 *
 * Every process keeps a token bucket for the whole account and subtracts the cost that it admits itself and the cost
 * that its peers report as admitted. Reports are running totals, so the next report corrects for a lost one. Costs that
 * peers admit before their report arrives can make the level negative; requests of the account are then refused until
 * the refill has made up for the debt.
 * Thread-safe.
 *
 * @param reachableShare fraction, from 0 to 1, of the account's rate and burst that this process and the peers which it
 *   can reach may use together.
 */
public class FleetQuota(
    private val timeSource: TimeSource.WithComparableMarks,
    private val reachableShare: () -> Double,
) {
    private var rate = 0.0
    private var burst = 0.0
    private var level = 0.0
    private var refilledAt: ComparableTimeMark = timeSource.markNow()
    private var ownTotal = 0.0
    private var peerTotal = 0.0
    private val peerTotals = HashMap<String, Double>()

    /** Total cost that this process has admitted since its start, as reported to its peers. */
    public val totalAdmittedCost: Double
        @Synchronized get() = ownTotal

    /** Total cost that the peers have reported as admitted since this process heard of them first. */
    public val totalPeerCost: Double
        @Synchronized get() = peerTotal

    /** Sets [rate] per second and [burst]; the first call fills the bucket to the fraction [initialFillFraction]. */
    @Synchronized
    public fun configure(rate: Double, burst: Double, initialFillFraction: Double) {
        val isFirst = this.rate == 0.0 && this.burst == 0.0
        refill()
        this.rate = rate
        this.burst = burst
        level = if (isFirst) burst * initialFillFraction else min(level, burst)
    }

    /** Subtracts [cost] if the level allows it, otherwise refuses with the time after which the request would fit. */
    @Synchronized
    public fun admit(cost: Double): QuotaDecision {
        refill()
        val requiredLevel = min(cost, burst * reachableShare())
        return when {
            // The cost of an account without a limit counts for its share of scarce capacity.
            rate <= 0.0 -> {
                ownTotal += cost
                QuotaDecision.Admitted
            }
            level >= requiredLevel -> {
                level -= cost
                ownTotal += cost
                QuotaDecision.Admitted
            }
            else -> QuotaDecision.Refused(((requiredLevel - level) / max(rate * reachableShare(), 1.0)).seconds)
        }
    }

    /** Refunds [cost] of a request that was not run. */
    @Synchronized
    public fun refund(cost: Double) {
        refill()
        level = min(level + cost, burst)
        ownTotal -= cost
    }

    /** Subtracts the cost that [peer] admitted since its last report; [totalCost] is the running total of the peer. */
    @Synchronized
    public fun recordPeerTotal(peer: String, totalCost: Double) {
        refill()
        val previousTotal = peerTotals.put(peer, totalCost) ?: totalCost
        level -= totalCost - previousTotal
        // A peer that has restarted counts from 0 again.
        peerTotal += max(0.0, totalCost - previousTotal)
    }

    private fun refill() {
        val seconds = refilledAt.elapsedNow().toDouble(DurationUnit.SECONDS)
        refilledAt = timeSource.markNow()
        level = min(level + seconds * rate * reachableShare(), max(burst * reachableShare(), min(level, burst)))
    }
}

/** Decision whether a request is within its account's quota. */
public sealed interface QuotaDecision {
    /** The cost was subtracted from the quota. */
    public data object Admitted : QuotaDecision

    /** The quota is exceeded; [retryAfter] is the time until the request would fit. */
    public data class Refused(val retryAfter: Duration) : QuotaDecision
}
