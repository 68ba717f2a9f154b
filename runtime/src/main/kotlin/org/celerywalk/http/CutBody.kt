package org.celerywalk.http

import com.fasterxml.jackson.core.JsonProcessingException
import org.celerywalk.engine.EventStreamParser
import java.nio.ByteBuffer

/**
 * Tells how the body has been cut, or returns null if nothing shows that it was.
 *
 * The end of a connection is no sign of a complete body, so a format that shows its own end decides. A cut body of
 * another format without length and chunks can't be detected.
 */
internal fun BufferedHttpResponse.findCut(): String? {
    val mediaType = headers["Content-Type"].orEmpty().substringBefore(';').trim().lowercase()
    return when {
        mediaType == EVENT_STREAM -> findEventStreamCut()
        mediaType == JSON && isEndedByConnection && !isJson(body) -> "the connection ended within the JSON document"
        else -> null
    }
}

private fun BufferedHttpResponse.findEventStreamCut(): String? {
    val parser = EventStreamParser(maxEventBytes = body.size)
    parser.feed(ByteBuffer.wrap(body))
    return when {
        parser.isInsideEvent -> "the stream ended within an event"
        body.isEmpty() && isEndedByConnection -> "the connection ended before the first event"
        else -> null
    }
}

// Reads tokens instead of a tree, which would take several times the memory of the body.
private fun isJson(body: ByteArray): Boolean = try {
    jsonMapper.factory.createParser(body).use { parser ->
        generateSequence { parser.nextToken() }.count() > 0
    }
} catch (_: JsonProcessingException) {
    false
}

private const val EVENT_STREAM = "text/event-stream"
private const val JSON = "application/json"
