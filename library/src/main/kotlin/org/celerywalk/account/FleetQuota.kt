package org.celerywalk.account

import kotlin.math.max
import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Holds one client account to its rate and burst over all processes together.
 *
 * Every process keeps a bucket for the whole account and takes from it what it admits itself and what the others report
 * as admitted. Reports are running totals, so a lost one is made up for by the next. What the others admit before their
 * report arrives drives the level below zero, and the account then waits until the debt is refilled.
 * Safe for use from several threads.
 *
 * @param share part of the account's rate that the processes in contact may use together.
 */
public class FleetQuota(private val timeSource: TimeSource.WithComparableMarks, private val share: () -> Double) {
    private var rate = 0.0
    private var burst = 0.0
    private var level = 0.0
    private var refilledAt: ComparableTimeMark = timeSource.markNow()
    private var total = 0.0
    private val reported = HashMap<String, Double>()

    /** Total that this process admitted, to be reported to the others. */
    public val admittedTotal: Double
        @Synchronized get() = total

    /** Applies the account's [rate] per second and [burst]; the first call fills the bucket by [startLevel]. */
    @Synchronized
    public fun configure(rate: Double, burst: Double, startLevel: Double) {
        val first = this.rate == 0.0 && this.burst == 0.0
        refill()
        this.rate = rate
        this.burst = burst
        level = if (first) burst * startLevel else min(level, burst)
    }

    /** Takes [cost] if the level allows it; otherwise returns the time after which it does. */
    @Synchronized
    public fun admit(cost: Double): QuotaDecision {
        refill()
        val needed = min(cost, burst * share())
        return when {
            rate <= 0.0 -> QuotaDecision.Admitted
            level >= needed -> {
                level -= cost
                total += cost
                QuotaDecision.Admitted
            }
            else -> QuotaDecision.Refused(((needed - level) / max(rate * share(), 1.0)).seconds)
        }
    }

    /** Gives back [cost] of a request that has not run. */
    @Synchronized
    public fun refund(cost: Double) {
        refill()
        level = min(level + cost, burst)
        total -= cost
    }

    /** Takes what process [peer] admitted since its last report; [admitted] is its running total. */
    @Synchronized
    public fun reported(peer: String, admitted: Double) {
        refill()
        val before = reported.put(peer, admitted) ?: admitted
        level -= admitted - before
    }

    private fun refill() {
        val seconds = refilledAt.elapsedNow().toDouble(DurationUnit.SECONDS)
        refilledAt = timeSource.markNow()
        level = min(level + seconds * rate * share(), max(burst * share(), min(level, burst)))
    }
}

/** Says whether a request is within its account's quota. */
public sealed interface QuotaDecision {
    /** The cost was taken from the quota. */
    public data object Admitted : QuotaDecision

    /** The quota is exceeded; [retryAfter] is the time until the request would fit. */
    public data class Refused(val retryAfter: Duration) : QuotaDecision
}
