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

    fun encode(work: Work, to: ArrayNode) {
        to.add(work.calls).add(work.unreadTokens).add(work.cacheTokens).add(work.deferredTokens)
    }

    /** Decodes [array]; gateways of an earlier version leave the last number out. */
    fun decode(array: JsonNode): Work = Work(
        calls = array.path(CALLS).asInt(),
        unreadTokens = array.path(UNREAD).asLong(),
        cacheTokens = array.path(CACHE).asLong(),
        deferredTokens = array.path(DEFERRED).asLong(),
    )
}
