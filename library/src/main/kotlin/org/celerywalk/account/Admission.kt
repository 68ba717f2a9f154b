package org.celerywalk.account

import arrow.core.Either
import org.celerywalk.error.StepError
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Admits requests within the rate and burst of their client accounts. */
public interface Admission {
    /** Reserves [tokens], the prompt plus the maximum length of the answer, for one request of [clientAccount]. */
    public fun reserve(
        clientAccount: String,
        tokens: Long,
    ): CompletableFuture<Either<AdmissionError, Reservation>>
}

/** Tokens reserved for one admitted request until it ends. */
public interface Reservation {
    /** Refunds the tokens beyond [usedTokens]; further calls have no effect. */
    public fun settle(usedTokens: Long)
}

/** Refusal of a request that exceeds the current quota of its client account. */
public data class AdmissionError(
    override val step: String,
    override val peer: String,
    override val message: String,
    /** Time after which the same request may be admitted, or null if it can never be admitted. */
    public val retryAfter: Duration?,
) : StepError
