package org.celerywalk.stream

/**
 * Splits the bytes of a server-sent event stream into complete events and tracks their ids.
 *
 * A blank line completes an event; lines end with LF, CR or CR LF. An endpoint may fail in the middle of an event; a
 * stream that resumes at another endpoint must not contain a partial event. Not thread-safe.
 */
public class ServerSentEventSplitter {
    private val pending = StringBuilder()
    private var isLineEmpty = true
    private var isBlankLine = false
    private var isAfterCarriageReturn = false
    private var usesTwoCharLineEnds = false

    /** Id of the last complete event that has one, or null if there was none. */
    public var lastEventId: String? = null
        private set

    /** True if the added bytes end with a complete event. */
    public val endsAtEventBoundary: Boolean get() = pending.isEmpty()

    /** Number of bytes of the event that is not complete yet. */
    public val partialEventBytes: Int get() = pending.length

    /** Number of bytes that are allocated for the event that is not complete yet: up to about twice its length. */
    internal val allocatedBytes: Int get() = pending.capacity()

    /** Adds [text] (one char per byte) and returns the events that it completes, or an empty string. */
    public fun add(text: String): String {
        val firstNewIndex = pending.length
        pending.append(text)
        var end = 0
        for (index in firstNewIndex until pending.length) {
            if (completesEvent(pending[index])) end = index + 1
        }
        if (end == 0) return ""
        val completeEvents = pending.substring(0, end)
        removePending(end)
        val id = completeEvents.lineSequence().lastOrNull { it.startsWith(ID_FIELD) }
        if (id != null) lastEventId = id.removePrefix(ID_FIELD).trim()
        return completeEvents
    }

    private fun completesEvent(char: Char): Boolean {
        val isLineEnd = char == LF || char == CR
        val isSecondOfLineEnd = char == LF && isAfterCarriageReturn
        if (isSecondOfLineEnd) usesTwoCharLineEnds = true else isBlankLine = isLineEnd && isLineEmpty
        isAfterCarriageReturn = char == CR
        isLineEmpty = isLineEnd
        // "data: a CR LF CR" is complete where lines end with CR, and broken off where they end with CR LF.
        return isBlankLine && !(isAfterCarriageReturn && usesTwoCharLineEnds)
    }

    /** Discards the bytes of a partial event. */
    public fun discardPartialEvent() {
        removePending(pending.length)
        isLineEmpty = true
        isBlankLine = false
        isAfterCarriageReturn = false
        usesTwoCharLineEnds = false
    }

    // A StringBuilder keeps the memory of its longest content until it is trimmed.
    private fun removePending(count: Int) {
        pending.delete(0, count)
        pending.trimToSize()
    }

    private companion object {
        const val LF = '\n'
        const val CR = '\r'
        const val ID_FIELD = "id:"
    }
}
