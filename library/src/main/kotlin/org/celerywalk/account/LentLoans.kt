package org.celerywalk.account

import kotlin.time.ComparableTimeMark

/** Outstanding loans that this process has granted to peers for one client account. */
internal class LentLoans {
    private val loans = mutableMapOf<String, LentLoan>()

    /** Sum of the lent tokens. */
    val tokens: Double get() = loans.values.sumOf { it.tokens }

    operator fun contains(loanId: String): Boolean = loanId in loans

    fun add(loanId: String, tokens: Double, expiresAt: ComparableTimeMark) {
        loans[loanId] = LentLoan(tokens, expiresAt)
    }

    fun close(loanId: String) {
        loans.remove(loanId)
    }

    fun expire(now: ComparableTimeMark) {
        loans.values.removeAll { it.expiresAt <= now }
    }

    private class LentLoan(val tokens: Double, val expiresAt: ComparableTimeMark)
}
