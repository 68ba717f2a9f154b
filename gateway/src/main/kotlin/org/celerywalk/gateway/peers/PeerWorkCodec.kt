package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.Rank
import org.celerywalk.routing.RankedWork

/**
 * Encodes the outstanding work of a gateway at an endpoint as a JSON array of numbers: for each rank that has any, the
 * rank and its work.
 */
internal object PeerWorkCodec {
    private const val FIELDS = 7
    private const val CALLS = 1
    private const val PREFILL_TOKENS = 2
    private const val CACHE_TOKENS = 3
    private const val DEFERRED_PREFILL_TOKENS = 4
    private const val DEFERRED_CALLS = 5
    private const val DEFERRED_CACHE_TOKENS = 6

    fun encode(work: RankedWork, target: ArrayNode) {
        work.byRank.forEach { (rank, part) ->
            target.add(rank).add(part.calls).add(part.queuedPrefillTokens).add(part.cacheTokens)
            target.add(part.deferredPrefillTokens).add(part.deferredCalls).add(part.deferredCacheTokens)
        }
    }

    /** Decodes [array]; ranks that this version does not know, and an incomplete last one, are left out. */
    fun decode(array: JsonNode): RankedWork = RankedWork(
        (0 until array.size() / FIELDS).map { it * FIELDS }
            .filter { array.path(it).asInt() in Rank.MOST_URGENT..Rank.LEAST_URGENT }
            .associate { array.path(it).asInt() to decodeWork(array, it) },
    )

    private fun decodeWork(array: JsonNode, start: Int) = EndpointWork(
        calls = array.path(start + CALLS).asInt(),
        queuedPrefillTokens = array.path(start + PREFILL_TOKENS).asLong(),
        cacheTokens = array.path(start + CACHE_TOKENS).asLong(),
        deferredPrefillTokens = array.path(start + DEFERRED_PREFILL_TOKENS).asLong(),
        deferredCalls = array.path(start + DEFERRED_CALLS).asInt(),
        deferredCacheTokens = array.path(start + DEFERRED_CACHE_TOKENS).asLong(),
    )
}
