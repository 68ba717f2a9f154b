package org.celerywalk.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody

/**
 * Mapper for JSON trees only: data binding for Kotlin would load kotlin-reflect, which needs too much memory here.
 *
 * JSON is UTF-8. The detection of other encodings would report invalid bytes with errors other than
 * JsonProcessingException.
 */
internal val jsonMapper = ObjectMapper(JsonFactory.builder().disable(JsonFactory.Feature.CHARSET_DETECTION).build())

private val jsonMediaType = "application/json".toMediaType()

/** Builds a JSON object with the fields that [fill] adds. */
internal fun jsonObject(fill: ObjectNode.() -> Unit): ObjectNode = jsonMapper.createObjectNode().apply(fill)

internal fun JsonNode.toBody(): RequestBody = jsonMapper.writeValueAsBytes(this).toRequestBody(jsonMediaType)

/** Parses [content] and converts it with [read]; returns a message if it is not JSON or lacks a required field. */
internal fun <T> parseJson(content: ByteArray, read: (JsonNode) -> T): Either<String, T> = try {
    read(jsonMapper.readTree(content)).right()
} catch (e: JsonProcessingException) {
    "the response is not JSON: ${e.originalMessage}".left()
} catch (e: MissingFieldException) {
    "the response has no field ${e.field}".left()
}

/** Returns the field [name]; throws [MissingFieldException] if it is absent. */
internal fun JsonNode.requiredField(name: String): JsonNode = get(name) ?: throw MissingFieldException(name)

internal class MissingFieldException(val field: String) : IllegalArgumentException("no field $field")
