package org.celerywalk.account

import org.celerywalk.configuration.ClientAccountEntry

/** Token bucket limit of a client account over all instances: refill in tokens per second and burst in tokens. */
public data class AccountRate(public val tokensPerSecond: Long, public val burstTokens: Long)

/** Configured limit of the client account. */
public val ClientAccountEntry.rate: AccountRate get() = AccountRate(rateTokensPerSecond, burstTokens)
