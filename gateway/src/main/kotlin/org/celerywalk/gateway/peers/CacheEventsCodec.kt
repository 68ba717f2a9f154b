package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import org.celerywalk.cache.CacheEvent
import org.celerywalk.cache.CacheEvents

/**
 * Encodes cache events as one JSON array: epoch, first and next sequence number, then scope, part and tokens of each
 * event.
 */
internal object CacheEventsCodec {
    private const val POSITION_FIELDS = 3
    private const val EVENT_FIELDS = 3

    fun encode(events: CacheEvents, target: ArrayNode) {
        target.add(events.epoch).add(events.firstSequence).add(events.nextSequence)
        events.events.forEach { target.add(it.scope).add(it.part).add(it.tokens) }
    }

    /** Decodes [array]; missing numbers of the position count as 0, and an incomplete last event is left out. */
    fun decode(array: JsonNode): CacheEvents {
        val (epoch, firstSequence, nextSequence) = List(POSITION_FIELDS) { array.path(it).asLong() }
        val events = array.drop(POSITION_FIELDS).chunked(EVENT_FIELDS).filter { it.size == EVENT_FIELDS }
            .map { (scope, part, tokens) -> CacheEvent(scope.asText(), part.asText(), tokens.asInt()) }
        return CacheEvents(epoch, firstSequence, nextSequence, events)
    }
}
