package org.celerywalk.cli

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper

/**
 * One event of a gateway's JSON log.
 *
 * @property belongsToRequest true if the event's id is the id of the explained request.
 */
internal class LogEvent(private val fields: JsonNode, val belongsToRequest: Boolean) {
    /** Wall-clock time of the event, milliseconds since the Unix epoch. */
    val millis: Long = fields.path("t").asLong()

    /** Event name and `name=value` pairs of the fields except the time, on one line. */
    val text: String
        get() = fields.properties().filter { it.key != "t" }
            .joinToString(" ") { (name, value) -> if (name == "event") value.asText() else "$name=${value.asText()}" }

    /** Endpoints that the event is about: the one that it names and those whose limits were its reason. */
    val endpointIds: List<String>
        get() = listOfNotNull(field("endpoint")) +
            field("limits").orEmpty().split(',').map { it.substringBeforeLast(':') }.filter { it.isNotEmpty() }

    fun field(name: String): String? = fields.get(name)?.asText()

    companion object {
        private val JSON: JsonMapper = JsonMapper.builder().build()

        /** Parses a log line, skipping a prefix added by a log collector; returns null if the line holds no event. */
        fun parse(line: String, request: String): LogEvent? {
            val start = line.indexOf('{')
            val fields = if (start < 0) null else parseJson(line.substring(start))
            return fields?.takeIf { it.path("event").isTextual }
                ?.let { LogEvent(it, belongsToRequest = it.path("id").asText() == request) }
        }

        private fun parseJson(text: String): JsonNode? = try {
            JSON.readTree(text)
        } catch (_: JsonProcessingException) {
            // Other programs may write to the same output; lines that are not JSON are skipped.
            null
        }
    }
}
