package org.celerywalk.stream

/**
 * Splits the bytes of an event stream into whole events and follows their ids.
 *
 * An endpoint may stop in the middle of an event; a stream that goes on elsewhere must not contain such a fragment.
 */
public class EventBoundaries {
    private val pending = StringBuilder()

    /** Id of the last whole event, or null if there was none. */
    public var lastEventId: String? = null
        private set

    /** True if the bytes so far end with a whole event. */
    public val complete: Boolean get() = pending.isEmpty()

    /** Adds [text] (one char per byte) and returns the whole events that it completes, or an empty string. */
    public fun add(text: String): String {
        pending.append(text)
        val end = pending.lastIndexOf(TERMINATOR)
        if (end < 0) return ""
        val whole = pending.substring(0, end + TERMINATOR.length)
        pending.delete(0, end + TERMINATOR.length)
        val id = whole.lineSequence().lastOrNull { it.startsWith(ID_FIELD) }
        if (id != null) lastEventId = id.removePrefix(ID_FIELD).trim()
        return whole
    }

    /** Drops a fragment of an event. */
    public fun dropFragment() {
        pending.clear()
    }

    private companion object {
        const val TERMINATOR = "\n\n"
        const val ID_FIELD = "id:"
    }
}
