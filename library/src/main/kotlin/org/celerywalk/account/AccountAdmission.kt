package org.celerywalk.account

import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Synchronises access to the token bucket of one client account and bounds its number of waiting requests. */
internal class AccountAdmission(
    val name: String,
    @Volatile var rate: AccountRate,
    private val weight: () -> Double,
    private val clock: TimeSource.WithComparableMarks,
) {
    private val bucket = AccountBucket(rate, clock)
    private val waitingRequests = AtomicInteger()

    @Synchronized
    fun changeRate(rate: AccountRate) {
        this.rate = rate
        bucket.resize(weight(), rate)
    }

    @Synchronized
    fun minimumWeight() = bucket.minimumWeight

    /** Reserves [tokens], or returns null if the bucket holds fewer. */
    @Synchronized
    fun tryReserve(tokens: Long): Reservation? {
        bucket.resize(weight(), rate)
        return bucket.reserve(tokens)?.let(::BucketReservation)
    }

    @Synchronized
    fun lend(request: LoanRequest): LoanGrant {
        request.closedLoans.forEach(bucket::closeLentLoan)
        bucket.resize(weight(), rate)
        return LoanGrant(request.loanId, bucket.lend(request.loanId, request.tokens))
    }

    @Synchronized
    fun takeClosedLoans(lender: String): List<String> = bucket.takeClosedLoans(lender)

    @Synchronized
    fun addBorrowedLoan(grant: LoanGrant, lender: String, askedAt: ComparableTimeMark) =
        bucket.addBorrowedLoan(grant, lender, askedAt)

    /** Returns the tokens to borrow: the shortfall plus [BORROW_LOOKAHEAD] of traffic at the full rate. */
    @Synchronized
    fun tokensToBorrow(tokens: Long): Double =
        tokens - bucket.availableTokens + rate.tokensPerSecond * (BORROW_LOOKAHEAD / 1.seconds)

    /** Returns how long a refill at the account's full rate takes until [tokens] are available. */
    @Synchronized
    fun refillTime(tokens: Long): Duration {
        val missingTokens = (tokens - bucket.availableTokens).coerceAtLeast(0.0)
        return if (rate.tokensPerSecond == 0L) Duration.INFINITE else (missingTokens / rate.tokensPerSecond).seconds
    }

    /** Counts a waiting request; returns false at the limit of [MAX_WAITING_REQUESTS]. */
    fun tryStartWaiting(): Boolean {
        val isAllowed = waitingRequests.incrementAndGet() <= MAX_WAITING_REQUESTS
        if (!isAllowed) waitingRequests.decrementAndGet()
        return isAllowed
    }

    fun stopWaiting() {
        waitingRequests.decrementAndGet()
    }

    private inner class BucketReservation(private val hold: AccountBucket.Hold) : Reservation {
        override fun settle(usedTokens: Long) {
            synchronized(this@AccountAdmission) { bucket.settle(hold, usedTokens) }
        }
    }

    private companion object {
        /** Largest number of requests of one client account that wait at the same time. */
        const val MAX_WAITING_REQUESTS = 32

        /** Time of traffic for which a loan provides tokens beyond those of the current request. */
        val BORROW_LOOKAHEAD = 100.milliseconds
    }
}
