package org.celerywalk.account

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Admits requests from this process's leased share of each account's rate, and borrows tokens from peers if needed.
 *
 * If the tokens still do not suffice, a request waits for up to [MAX_WAIT], provided that the refill takes no longer.
 * The number of waiting requests per account is bounded, so that an account over its rate cannot fill the process with
 * waiting requests.
 *
 * @param weight returns the fraction of all rates that this process holds, see [ShareLeaseManager.weight].
 * @param newLoanId returns a new unique loan id.
 */
public class LeasedAdmission(
    private val weight: () -> Double,
    private val peers: PeerLending,
    private val delay: Delay,
    private val clock: TimeSource.WithComparableMarks,
    private val newLoanId: () -> String,
) : Admission {
    private val accounts = ConcurrentHashMap<String, AccountAdmission>()

    /** Replaces the limits of all client accounts; accounts that are not in [rates] are removed. */
    public fun setRates(rates: Map<String, AccountRate>) {
        accounts.keys.retainAll(rates.keys)
        rates.forEach { (name, rate) ->
            accounts.computeIfAbsent(name) { AccountAdmission(name, rate, weight, clock) }.changeRate(rate)
        }
    }

    /** Applies a changed [weight], by which buckets refill; call it after each [ShareLeaseManager.updateLease]. */
    public fun applyWeight() {
        accounts.values.forEach { it.changeRate(it.rate) }
    }

    /** Returns the weight, 0 to 1, that this process's open loans need, see [ShareLeaseManager.updateLease]. */
    public fun minimumWeight(): Double = accounts.values.maxOfOrNull { it.minimumWeight() } ?: 0.0

    /** Grants a loan to a peer, with 0 tokens if the account is unknown or has no lendable tokens. */
    public fun lend(request: LoanRequest): LoanGrant =
        accounts[request.clientAccount]?.lend(request) ?: LoanGrant(request.loanId, tokens = 0)

    override fun reserve(
        clientAccount: String,
        tokens: Long,
    ): CompletableFuture<Either<AdmissionError, Reservation>> {
        val account = accounts[clientAccount]
            ?: return refused("the client account $clientAccount is not in the configuration", retryAfter = null)
        return if (tokens > account.rate.burstTokens) {
            refused(
                "the request needs $tokens tokens; the burst of $clientAccount is ${account.rate.burstTokens}",
                retryAfter = null,
            )
        } else {
            AdmissionAttempt(account, tokens).run()
        }
    }

    private fun refused(
        message: String,
        retryAfter: Duration?,
    ): CompletableFuture<Either<AdmissionError, Reservation>> =
        CompletableFuture.completedFuture(AdmissionError("admit", "this process", message, retryAfter).left())

    private inner class AdmissionAttempt(private val account: AccountAdmission, private val tokens: Long) {
        private val askedLenders = mutableSetOf<String>()
        private var hasWaited = false

        fun run(): CompletableFuture<Either<AdmissionError, Reservation>> {
            val reservation = account.tryReserve(tokens)
            return if (reservation != null) CompletableFuture.completedFuture(reservation.right()) else borrow()
        }

        private fun borrow(): CompletableFuture<Either<AdmissionError, Reservation>> {
            val maxLenders = if (askedLenders.isEmpty()) FIRST_ROUND_LENDERS else askedLenders.size * LENDER_GROWTH
            val lenders = peers.lenders().filter { it !in askedLenders }.take(maxLenders)
            if (lenders.isEmpty()) return waitOrRefuse()
            askedLenders += lenders
            val tokensPerLender = ceil(account.tokensToBorrow(tokens) / lenders.size).toLong()
            val grants = lenders.map { lender -> askForLoan(lender, tokensPerLender) }
            return grants.reduce { combined, grant -> combined.thenCombine(grant) { _, _ -> } }.thenCompose { run() }
        }

        private fun askForLoan(lender: String, tokens: Long): CompletableFuture<Unit> {
            val askedAt = clock.markNow()
            val request = LoanRequest(newLoanId(), account.name, tokens, account.takeClosedLoans(lender))
            return peers.borrow(lender, request).thenApply { grant ->
                if (grant != null && grant.loanId == request.loanId) account.addBorrowedLoan(grant, lender, askedAt)
            }
        }

        private fun waitOrRefuse(): CompletableFuture<Either<AdmissionError, Reservation>> {
            val refillTime = account.refillTime(tokens)
            if (hasWaited || refillTime > MAX_WAIT || !account.tryStartWaiting()) {
                val message = "client account ${account.name} is over its rate of ${account.rate.tokensPerSecond} " +
                    "tokens/s: the request needs $tokens"
                return refused(message, maxOf(refillTime, MIN_RETRY_AFTER))
            }
            hasWaited = true
            return delay.after(refillTime).thenCompose {
                account.stopWaiting()
                askedLenders.clear()
                run()
            }
        }
    }

    private companion object {
        /** Lenders asked in the first round. Later rounds ask more lenders, because only large requests need them. */
        const val FIRST_ROUND_LENDERS = 4

        /** Lenders asked in a further round for each lender already asked. */
        const val LENDER_GROWTH = 3

        /** Longest time for which a request waits for tokens. */
        val MAX_WAIT = 1.seconds
        val MIN_RETRY_AFTER = 1.seconds
    }
}
