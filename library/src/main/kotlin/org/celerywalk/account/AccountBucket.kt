package org.celerywalk.account

import kotlin.math.max
import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Token bucket for the tokens of one client account that this process may admit.
 *
 * The process holds a weight, a fraction of the account's rate and burst. The levels of the buckets in all processes
 * plus their loans never exceed the burst, so all processes together admit at most burst + rate × t tokens in a time t.
 * Not safe for concurrent use.
 *
 * @param rate limit of the account over all processes.
 */
public class AccountBucket(private var rate: AccountRate, private val clock: TimeSource.WithComparableMarks) {
    private val createdAt = clock.markNow()
    private var refilledAt = createdAt
    private var weight = 0.0
    private var level = 0.0
    private val reservations = mutableSetOf<Hold>()
    private val borrowed = BorrowedLoans()
    private val lent = LentLoans()

    /** Tokens that can be reserved now, including those borrowed from peers. */
    public val availableTokens: Double
        get() {
            refill()
            return level + borrowed.tokens
        }

    /** Smallest weight, from 0 to 1, of which the lendable fraction still covers the lent tokens. */
    public val minimumWeight: Double
        get() {
            refill()
            return if (rate.burstTokens == 0L) 0.0 else lent.tokens / (rate.burstTokens * LENDABLE_FRACTION)
        }

    /**
     * Sets the fraction of the account's rate and burst that this process holds, from 0 to 1, and the account's limit.
     *
     * Tokens above the new capacity are lost.
     */
    public fun resize(weight: Double, rate: AccountRate) {
        refill()
        this.weight = weight
        this.rate = rate
        clampLevel()
    }

    /** Reserves [tokens], or returns null if fewer are available. Loans are used before the process's own tokens. */
    public fun reserve(tokens: Long): Hold? {
        if (availableTokens < tokens) return null
        val loanParts = borrowed.take(tokens.toDouble())
        val ownTokens = tokens - loanParts.sumOf { it.tokens }
        level -= ownTokens
        return Hold(ownTokens, loanParts, headroom = capacity() - level).also { reservations += it }
    }

    /**
     * Ends [hold] and refunds its tokens beyond [usedTokens].
     *
     * The level becomes as if only the used tokens had been taken at the start: refunded tokens that would have
     * overflowed the bucket since then are lost. Otherwise a full bucket and a refunded reservation could be spent one
     * after the other.
     */
    public fun settle(hold: Hold, usedTokens: Long) {
        refill()
        if (!reservations.remove(hold)) return
        val unreturned = borrowed.refund(hold.loanParts, usedTokens.toDouble())
        val usedOwnTokens = max(0.0, usedTokens - hold.loanParts.sumOf { it.tokens })
        val refunded = min(max(0.0, hold.ownTokens - usedOwnTokens) + unreturned, hold.headroom).coerceAtLeast(0.0)
        level += refunded
        reservations.forEach { it.headroom = max(0.0, it.headroom - refunded) }
        clampLevel()
    }

    /**
     * Lends up to [tokens] as loan [loanId] and returns the number of tokens lent.
     *
     * At most half of this process's share of the burst is lent at a time. A [loanId] that is already lent gets 0.
     */
    public fun lend(loanId: String, tokens: Long): Long {
        refill()
        val lendableTokens = weight * rate.burstTokens * LENDABLE_FRACTION - lent.tokens
        val granted = min(min(tokens.toDouble(), level), lendableTokens).toLong()
        if (granted <= 0 || loanId in lent) return 0
        level -= granted
        lent.add(loanId, granted.toDouble(), clock.markNow() + LENDER_LOAN_VALIDITY)
        return granted
    }

    /** Frees the capacity of a loan that its borrower has closed. */
    public fun closeLentLoan(loanId: String) {
        refill()
        lent.close(loanId)
    }

    /** Adds a loan of [lender]; its validity counts from [askedAt], before the request for it was sent. */
    public fun addBorrowedLoan(grant: LoanGrant, lender: String, askedAt: ComparableTimeMark) {
        refill()
        val expiresAt = askedAt + LOAN_VALIDITY
        if (expiresAt > clock.markNow()) borrowed.add(grant, lender, expiresAt)
    }

    /**
     * Removes the used-up loans of [lender] and returns their ids, so that the lender can be told to close them.
     *
     * Tokens of such a loan that are refunded later go to this process's own share.
     */
    public fun takeClosedLoans(lender: String): List<String> {
        refill()
        return borrowed.removeClosed(lender)
    }

    private fun refill() {
        val now = clock.markNow()
        borrowed.expire(now)
        lent.expire(now)
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        level += weight * rate.tokensPerSecond * REFILL_RATE_FACTOR * seconds
        clampLevel()
        val headroom = capacity() - level
        reservations.forEach { it.headroom = min(it.headroom, headroom) }
    }

    private fun clampLevel() {
        level = min(level, capacity()).coerceAtLeast(0.0)
    }

    // A predecessor may have lent tokens just before it ended. The part left unused after the start covers these loans.
    private fun capacity(): Double {
        val quota = weight * rate.burstTokens
        val usable = if (createdAt.elapsedNow() < LENDER_LOAN_VALIDITY) quota * (1 - LENDABLE_FRACTION) else quota
        return max(0.0, usable - lent.tokens)
    }

    /**
     * Tokens reserved for one admitted request.
     *
     * @property headroom smallest free capacity of the bucket since the tokens were reserved, in tokens.
     */
    public class Hold internal constructor(
        internal val ownTokens: Double,
        internal val loanParts: List<BorrowedLoans.LoanPart>,
        internal var headroom: Double,
    )

    private companion object {
        /** Fraction of this process's share of the burst that may be lent at a time. */
        const val LENDABLE_FRACTION = 0.5

        /** Slows the refill by 0.1 %, so that a process whose clock runs fast does not exceed the rate. */
        const val REFILL_RATE_FACTOR = 0.999
    }
}
