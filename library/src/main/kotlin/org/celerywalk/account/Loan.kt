package org.celerywalk.account

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time after which unused tokens of a loan expire, counted by the borrower from before it sent the request. */
public val LOAN_VALIDITY: Duration = 5.seconds

/**
 * Time after which a lender reuses the lent capacity, counted from the grant of the loan.
 *
 * It is longer than [LOAN_VALIDITY] by more than the largest drift between two clocks over that time.
 */
public val LENDER_LOAN_VALIDITY: Duration = 6.seconds

/** Request for tokens of a client account. [closedLoans] are ids of loans from the same lender that are used up. */
public data class LoanRequest(
    public val loanId: String,
    public val clientAccount: String,
    public val tokens: Long,
    public val closedLoans: List<String> = emptyList(),
)

/** Answer to a [LoanRequest]; [tokens] is 0 if the lender has no lendable tokens. */
public data class LoanGrant(public val loanId: String, public val tokens: Long)
