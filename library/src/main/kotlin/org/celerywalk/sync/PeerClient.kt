package org.celerywalk.sync

import arrow.core.Either
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.error.StepError
import org.celerywalk.instance.ProcessIdentity
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Client for other processes of the system; every future completes after a deadline at the latest. */
public interface PeerClient {
    /** Exchanges configuration versions and withdrawn keys with the process at [address]. */
    public fun exchange(
        address: String,
        query: ExchangeQuery,
    ): CompletableFuture<Either<PeerError, ExchangeResponse>>

    /** Fetches the configuration version of the peer and its sections that are newer than [knownVersions]. */
    public fun fetchSections(
        address: String,
        knownVersions: Map<Team, Long>,
    ): CompletableFuture<Either<PeerError, Pair<Long, Map<Team, SectionText>>>>
}

/**
 * State of the sender of an exchange.
 *
 * @property version configuration version of the sender, 0 if it has none.
 * @property withdrawnDigest digest of the set of withdrawn key ids, by which two sets are compared.
 * @property withdrawnKeyIds ids of withdrawn keys that the sender knows; empty if the receiver is known to have them.
 * @property stoppingAgents incarnations of agents that have told the sender that they stop; a stopping agent adds its
 *   own.
 */
public data class ExchangeQuery(
    public val sender: ProcessIdentity,
    public val version: Long,
    public val withdrawnDigest: Long,
    public val withdrawnKeyIds: Set<String>,
    public val stoppingAgents: Set<String> = emptySet(),
)

/**
 * State of the receiver of an exchange.
 *
 * @property version configuration version of the receiver, 0 if it has none.
 * @property withdrawnDigest digest of the set of withdrawn key ids.
 * @property withdrawnKeyIds ids of withdrawn keys that the receiver knows; empty if the digests are equal.
 * @property tableAge age of the latest state of the table that the receiver has applied, null if it has applied none.
 * @property isTableReachable true if the table answered the receiver's last call.
 * @property stoppingAgents incarnations of agents that have told the receiver that they stop.
 */
public data class ExchangeResponse(
    public val receiver: ProcessIdentity,
    public val version: Long,
    public val withdrawnDigest: Long,
    public val withdrawnKeyIds: Set<String>,
    public val tableAge: Duration?,
    public val isTableReachable: Boolean,
    public val stoppingAgents: Set<String> = emptySet(),
)

/** A peer did not answer, or its answer was not usable. */
public data class PeerError(
    override val step: String,
    override val peer: String,
    override val message: String,
) : StepError
