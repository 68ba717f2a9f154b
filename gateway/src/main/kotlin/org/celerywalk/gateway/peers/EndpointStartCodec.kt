package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import org.celerywalk.endpoint.EndpointStart

/** Encodes the start of an endpoint as a JSON array of the endpoint's ID and, if known, the time of the start. */
internal object EndpointStartCodec {
    fun encode(start: EndpointStart, target: ArrayNode) {
        target.add(start.id)
        start.startedAtMillis?.let(target::add)
    }

    /** Decodes [array], or returns null if it names no endpoint. */
    fun decode(array: JsonNode): EndpointStart? = array.path(0).takeIf { it.isTextual }
        ?.let { EndpointStart(it.asText(), array.get(1)?.takeIf { time -> time.isIntegralNumber }?.asLong()) }
}
