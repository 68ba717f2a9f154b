package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary

/** Orders the replicas that a request may be sent to. */
public interface EndpointChooser {
    /** Returns the replicas to try, best first; empty if none accepts requests for the request's model and weights. */
    public fun choose(request: RoutingRequest, replicas: List<ReplicaSummary>): List<ReplicaSummary>

    /** Records that the request is sent to [replica], whose load summary does not include it yet. */
    public fun recordSent(request: RoutingRequest, replica: ReplicaSummary)

    /** Records from an answer how many prompt tokens [replica] found in its prefix cache. */
    public fun recordAnswer(request: RoutingRequest, replica: ReplicaSummary, cachedTokens: Int)

    /** Records that the request has ended at [replica], with or without an answer. */
    public fun recordEnd(request: RoutingRequest, replica: ReplicaSummary)
}

/**
 * Describes the properties of a request that routing depends on.
 *
 * @property pieceNames chained hashes of the prompt's prefix cache pieces, in prompt order.
 * @property pieceTokens length of a piece in tokens.
 * @property promptTokens length of the whole prompt in tokens.
 * @property priority larger is more urgent.
 */
public data class RoutingRequest(
    public val requestId: String,
    public val clientAccount: String,
    public val model: String,
    public val weights: String,
    public val pieceNames: List<Long>,
    public val pieceTokens: Int,
    public val promptTokens: Int,
    public val priority: Int,
)
