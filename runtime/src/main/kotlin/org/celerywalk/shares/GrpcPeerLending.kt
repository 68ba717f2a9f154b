package org.celerywalk.shares

import org.celerywalk.account.LoanGrant
import org.celerywalk.account.LoanRequest
import org.celerywalk.account.PeerLending
import org.celerywalk.protocol.BorrowRequest
import org.celerywalk.rpc.PeerMethods
import org.celerywalk.rpc.call
import org.celerywalk.sync.PeerChannels
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Borrows tokens from other entries over gRPC.
 *
 * @param entries returns the gRPC addresses of the other entries.
 */
internal class GrpcPeerLending(
    private val channels: PeerChannels,
    private val random: Random,
    private val entries: () -> List<String>,
) : PeerLending {
    // A random order spreads the requests over the lenders.
    override fun lenders(): List<String> = entries().shuffled(random)

    override fun borrow(lender: String, request: LoanRequest): CompletableFuture<LoanGrant?> {
        val message = BorrowRequest.newBuilder()
            .setLoanId(request.loanId)
            .setClientAccount(request.clientAccount)
            .setTokens(request.tokens)
            .addAllClosedLoans(request.closedLoans)
            .build()
        return channels.to(lender).call(PeerMethods.BORROW, message, DEADLINE)
            .handle { reply, _ -> reply?.let { LoanGrant(it.loanId, it.tokens) } }
    }

    private companion object {
        // Short, because a caller's request waits for the loan; a lender that does not answer in time is skipped.
        val DEADLINE = 50.milliseconds
    }
}
