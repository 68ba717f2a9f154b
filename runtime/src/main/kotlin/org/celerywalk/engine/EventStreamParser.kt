package org.celerywalk.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

/** A server-sent event. */
internal data class ServerSentEvent(val name: String, val data: String)

/**
 * Incremental parser of a `text/event-stream`. Comments, unknown fields and events without a name
 * are skipped. Lines end with CR LF, LF or CR; a byte order mark may precede the first one.
 *
 * @param maxEventBytes maximum length of a line, and of the data of an event.
 */
internal class EventStreamParser(private val maxEventBytes: Int) {
    private var previousByte = 0
    private var isFirstLine = true
    private val line = ByteArrayOutputStream()
    private var name = ""
    private val data = StringBuilder()
    private var hasFields = false

    /** Whether the consumed bytes end within a line or an event. */
    val isInsideEvent: Boolean get() = line.size() > 0 || hasFields

    /** Consumes [bytes] and returns the events completed by them, or an error message. */
    fun feed(bytes: ByteBuffer): Either<String, List<ServerSentEvent>> {
        val events = ArrayList<ServerSentEvent>()
        while (bytes.hasRemaining() && isWithinLimit()) {
            val byte = bytes.get().toInt()
            val endsCrLf = byte == LF && previousByte == CR
            previousByte = byte
            when {
                endsCrLf -> continue
                byte == LF || byte == CR -> endLine()?.let(events::add)
                else -> line.write(byte)
            }
        }
        return if (isWithinLimit()) events.right() else "an event is longer than $maxEventBytes bytes".left()
    }

    private fun endLine(): ServerSentEvent? {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        return parseLine(if (isFirstLine) text.removePrefix(BYTE_ORDER_MARK) else text).also { isFirstLine = false }
    }

    private fun isWithinLimit() = line.size() <= maxEventBytes && data.length <= maxEventBytes

    private fun parseLine(text: String): ServerSentEvent? {
        if (!text.startsWith(COMMENT)) hasFields = text.isNotEmpty()
        val value = text.substringAfter(':', "").removePrefix(" ")
        var event: ServerSentEvent? = null
        when {
            text.isEmpty() -> {
                event = ServerSentEvent(name, data.toString()).takeIf { name.isNotEmpty() }
                name = ""
                data.clear()
            }
            text.startsWith("event:") -> name = value
            text.startsWith("data:") -> data.append(value)
        }
        return event
    }

    private companion object {
        const val CR = '\r'.code
        const val LF = '\n'.code
        const val COMMENT = ':'
        const val BYTE_ORDER_MARK = "\uFEFF"
    }
}
