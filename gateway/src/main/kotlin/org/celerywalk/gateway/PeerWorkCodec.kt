package org.celerywalk.gateway

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import org.celerywalk.routing.Work

/** Encodes a gateway's work at an endpoint as an array of numbers. */
internal object PeerWork {
    private const val CALLS = 0
    private const val UNREAD = 1
    private const val CACHE = 2
    private const val DEFERRED = 3
    private const val DEFERRED_CALLS = 4
    private const val DEFERRED_CACHE = 5

    fun encode(work: Work, to: ArrayNode) {
        to.add(work.calls).add(work.unreadTokens).add(work.cacheTokens)
        if (work.deferredCalls > 0) {
            to.add(work.deferredTokens).add(work.deferredCalls).add(work.deferredCacheTokens)
        }
    }

    /** Decodes [array]; the numbers of deferred work may be missing. */
    fun decode(array: JsonNode): Work = Work(
        calls = array.path(CALLS).asInt(),
        unreadTokens = array.path(UNREAD).asLong(),
        cacheTokens = array.path(CACHE).asLong(),
        deferredTokens = array.path(DEFERRED).asLong(),
        deferredCalls = array.path(DEFERRED_CALLS).asInt(),
        deferredCacheTokens = array.path(DEFERRED_CACHE).asLong(),
    )
}
