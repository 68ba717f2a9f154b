package org.celerywalk.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [PrefixEndpointChooser].
 *
 * @property prefillTokensPerSecond prefill throughput that is assumed for a replica whose summary reports none.
 * @property minCandidates minimum number of replicas that rendezvous hashing selects for a prefix.
 * @property maxCandidates maximum number of replicas that rendezvous hashing selects for the most requested prefixes.
 * @property replicationFactor number of replicas for a prefix relative to its share of the requests; above 1 to balance
 *   the load.
 * @property maxTrackedPieces maximum number of prefix cache pieces whose holders are recorded.
 * @property popularityHalfLife time after which a past request counts half in the request share of its prefix.
 * @property recomputeWeight weight of an uncached token relative to a queued token while all replicas are idle.
 * @property busyRecomputeWeight amount that is added to [recomputeWeight] while all replicas are busy, in proportion to
 *   the square of the busy share. A recomputed token delays the requests behind it and evicts other prefixes, which
 *   costs most when little capacity is left; with a low weight, cache misses at 80 % load cause more misses until the
 *   fleet is overloaded.
 */
public data class RoutingSettings(
    public val prefillTokensPerSecond: Double = 20_000.0,
    public val minCandidates: Int = 2,
    public val maxCandidates: Int = 6,
    public val replicationFactor: Double = 1.2,
    public val maxTrackedPieces: Int = 50_000,
    public val popularityHalfLife: Duration = 20.seconds,
    public val recomputeWeight: Double = 2.0,
    public val busyRecomputeWeight: Double = 15.0,
)
