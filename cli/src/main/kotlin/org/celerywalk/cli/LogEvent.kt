package org.celerywalk.cli

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper

/**
 * Holds one line of a gateway's log.
 *
 * @property ofRequest true if the line names the request itself.
 */
internal class LogEvent(private val fields: JsonNode, val ofRequest: Boolean) {
    val millis: Long = fields.path("t").asLong()

    /** Event, instance and fields as one line of text. */
    val text: String
        get() = fields.properties().filter { it.key != "t" }
            .joinToString(" ") { (name, value) -> if (name == "event") value.asText() else "$name=${value.asText()}" }

    fun field(name: String): String? = fields.get(name)?.asText()

    companion object {
        private val JSON: JsonMapper = JsonMapper.builder().build()

        /** Reads a line, which may have a prefix of the log collector, or returns null if it holds no event. */
        fun parse(line: String, request: String): LogEvent? {
            val start = line.indexOf('{')
            val fields = if (start < 0) null else tree(line.substring(start))
            return fields?.takeIf { it.path("event").isTextual }
                ?.let { LogEvent(it, ofRequest = it.path("id").asText() == request) }
        }

        private fun tree(text: String): JsonNode? = try {
            JSON.readTree(text)
        } catch (_: JsonProcessingException) {
            // Other programs write to the same output; their lines are no events.
            null
        }
    }
}
