package org.celerywalk.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Weighted service counters of client accounts (virtual token counters), over all gateways.
 *
 * A counter forgets half of its service in [halfLife], so that an account pays for a burst only for some seconds. An
 * account that is new or was idle starts at the smallest counter of the active accounts. Thread-safe.
 *
 * @param weightOf share that an account is entitled to, relative to the other accounts.
 */
public class FairShares(
    private val timeSource: TimeSource.WithComparableMarks,
    halfLife: Duration = HALF_LIFE,
    private val weightOf: (account: String) -> Double = { 1.0 },
) {
    private val accounts = DecayingTotals<String>(timeSource, halfLife)
    private val ranks = DecayingTotals<Int>(timeSource, halfLife)
    private val peers = PeerService(timeSource, halfLife)
    private var refreshedAt = timeSource.markNow() - REFRESH_INTERVAL
    private var smallestActive = 0.0
    private var activeAccounts = 0

    /** Adds [work] of a request of [account] with [rank] that this gateway admits. */
    @Synchronized
    public fun recordAdmitted(account: String, rank: Int, work: Long) {
        addService(account, work.toDouble())
        ranks.add(rank, work.toDouble())
        peers.recordOwnWork(account, work.toDouble())
    }

    /** Takes back [work] of a request that was admitted and not executed. */
    @Synchronized
    public fun withdraw(account: String, rank: Int, work: Long) {
        accounts.add(account, -work / weight(account))
        ranks.add(rank, -work.toDouble())
    }

    /**
     * Records the cost to the quota of [account] that this gateway and its peers have admitted since this process
     * started; the service of the peers is derived from it.
     */
    @Synchronized
    public fun recordCosts(account: String, ownTotalCost: Double, peerTotalCost: Double) {
        val work = peers.convert(account, ownTotalCost, peerTotalCost)
        if (work > 0.0) addService(account, work)
    }

    /** Returns the weighted service of [account]; the account with the least comes first. */
    @Synchronized
    public fun counter(account: String): Double {
        refresh()
        return maxOf(accounts[account], smallestActive.takeIf { isIdle(account) } ?: 0.0)
    }

    /** Returns true if [account] has had more than its share of the service of the active accounts. */
    @Synchronized
    public fun isAboveShare(account: String): Boolean {
        refresh()
        return activeAccounts > 1 && accounts[account] > accounts.sum / activeAccounts * SHARE_TOLERANCE
    }

    /** Returns the service of the accounts and ranks that have had the most, for logs. */
    @Synchronized
    public fun describe(): ShareDescription = ShareDescription(accounts.describe(), ranks.describe())

    private fun addService(account: String, work: Double) {
        refresh()
        if (isIdle(account)) accounts.add(account, smallestActive - accounts[account])
        accounts.add(account, work / weight(account))
    }

    private fun weight(account: String) = weightOf(account).coerceAtLeast(MIN_WEIGHT)

    private fun isIdle(account: String) = accounts[account] < accounts.sum * MIN_ACTIVE_SHARE

    // Goes through all accounts, so it runs at intervals and not with each request.
    private fun refresh() {
        if (refreshedAt.elapsedNow() < REFRESH_INTERVAL) return
        refreshedAt = timeSource.markNow()
        val minimum = accounts.sum * MIN_ACTIVE_SHARE
        val active = accounts.entries().filter { it.second > 0.0 && it.second >= minimum }
        activeAccounts = active.size
        smallestActive = active.lastOrNull()?.second ?: 0.0
    }

    private companion object {
        // A burst of a few seconds is forgotten after a few of these.
        val HALF_LIFE = 5.seconds
        val REFRESH_INTERVAL = 250.milliseconds
        const val MIN_WEIGHT = 1e-6

        // An account with a smaller share counts as idle.
        const val MIN_ACTIVE_SHARE = 0.01

        // Accounts that offer the same differ by chance within this factor.
        const val SHARE_TOLERANCE = 1.1
    }
}

/**
 * Shares of the service, such as `a:61%,b:20%`, the largest first.
 *
 * @property accounts shares of the accounts at all gateways.
 * @property ranks shares of the ranks in what this gateway has admitted.
 */
public data class ShareDescription(val accounts: String, val ranks: String)
