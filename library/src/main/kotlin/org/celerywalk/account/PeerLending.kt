package org.celerywalk.account

import java.util.concurrent.CompletableFuture

/** Client for borrowing tokens from the other processes that hold shares of the account rates. */
public interface PeerLending {
    /** Returns the peers that may lend, in the order in which to ask them: nearest or most likely to lend first. */
    public fun lenders(): List<String>

    /** Requests a loan from [lender]; completes with null if it does not answer in time. */
    public fun borrow(lender: String, request: LoanRequest): CompletableFuture<LoanGrant?>
}

/** Source of futures that complete after a delay: a timer in production, a manual clock in tests. */
public fun interface Delay {
    /** Returns a future that completes after [duration]. */
    public fun after(duration: kotlin.time.Duration): CompletableFuture<Unit>
}
