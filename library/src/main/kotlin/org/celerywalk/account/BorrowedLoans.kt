package org.celerywalk.account

import kotlin.math.min
import kotlin.time.ComparableTimeMark

/** Loans that this process has taken from peers for one client account. */
internal class BorrowedLoans {
    private val loans = ArrayDeque<Loan>()

    /** Sum of the unused tokens of all loans. */
    val tokens: Double get() = loans.sumOf { it.unusedTokens }

    fun add(grant: LoanGrant, lender: String, expiresAt: ComparableTimeMark) {
        if (grant.tokens > 0 && loans.none { it.id == grant.loanId }) {
            loans += Loan(grant.loanId, lender, expiresAt, grant.tokens.toDouble())
        }
    }

    /** Takes up to [tokens], oldest loans first. */
    fun take(tokens: Double): List<LoanPart> {
        var missingTokens = tokens
        return loans.mapNotNull { loan ->
            val taken = min(loan.unusedTokens, missingTokens)
            loan.unusedTokens -= taken
            missingTokens -= taken
            if (taken > 0) LoanPart(loan, taken) else null
        }
    }

    /** Refunds the tokens of [parts] beyond [used] to their loans; returns the tokens whose loans have been removed. */
    fun refund(parts: List<LoanPart>, used: Double): Double {
        var unassignedUse = used
        var unreturned = 0.0
        for (part in parts) {
            val spent = min(part.tokens, unassignedUse)
            unassignedUse -= spent
            if (part.loan in loans) part.loan.unusedTokens += part.tokens - spent else unreturned += part.tokens - spent
        }
        return unreturned
    }

    fun expire(now: ComparableTimeMark) {
        loans.removeAll { it.expiresAt <= now }
    }

    /** Removes the used-up loans of [lender] and returns their ids. */
    fun removeClosed(lender: String): List<String> {
        val closed = loans.filter { it.lender == lender && it.unusedTokens <= 0.0 }
        loans.removeAll(closed)
        return closed.map { it.id }
    }

    internal class Loan(val id: String, val lender: String, val expiresAt: ComparableTimeMark, var unusedTokens: Double)

    /** Tokens that one request took from a loan. */
    internal class LoanPart(val loan: Loan, val tokens: Double)
}
