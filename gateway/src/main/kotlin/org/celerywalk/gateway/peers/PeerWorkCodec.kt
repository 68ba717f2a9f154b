package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import org.celerywalk.routing.EndpointWork

/** Encodes the outstanding work of a gateway at an endpoint as a JSON array of numbers. */
internal object PeerWorkCodec {
    private const val CALLS_INDEX = 0
    private const val PREFILL_TOKENS_INDEX = 1
    private const val CACHE_TOKENS_INDEX = 2
    private const val DEFERRED_PREFILL_TOKENS_INDEX = 3
    private const val DEFERRED_CALLS_INDEX = 4
    private const val DEFERRED_CACHE_TOKENS_INDEX = 5

    fun encode(work: EndpointWork, target: ArrayNode) {
        target.add(work.calls).add(work.queuedPrefillTokens).add(work.cacheTokens)
        if (work.deferredCalls > 0) {
            target.add(work.deferredPrefillTokens).add(work.deferredCalls).add(work.deferredCacheTokens)
        }
    }

    /** Decodes [array]; missing numbers count as 0, since deferred work is left out if there is none. */
    fun decode(array: JsonNode): EndpointWork = EndpointWork(
        calls = array.path(CALLS_INDEX).asInt(),
        queuedPrefillTokens = array.path(PREFILL_TOKENS_INDEX).asLong(),
        cacheTokens = array.path(CACHE_TOKENS_INDEX).asLong(),
        deferredPrefillTokens = array.path(DEFERRED_PREFILL_TOKENS_INDEX).asLong(),
        deferredCalls = array.path(DEFERRED_CALLS_INDEX).asInt(),
        deferredCacheTokens = array.path(DEFERRED_CACHE_TOKENS_INDEX).asLong(),
    )
}
