package org.celerywalk.entry.http

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper

/** Reads and writes JSON. Nesting deeper than [MAX_DEPTH], duplicate names and trailing content are errors. */
internal object Json {
    private const val MAX_DEPTH = 64
    private val mapper = JsonMapper.builder()
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
        .build()
        .apply { factory.setStreamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build()) }

    fun encode(value: Any): ByteArray = mapper.writeValueAsBytes(value)

    /** Parses [content]; returns null if it is not exactly one JSON value. */
    fun parse(content: String): JsonNode? = try {
        mapper.readTree(content)
    } catch (_: JacksonException) {
        null
    }
}
