package org.celerywalk.key

/**
 * Caller's key of the form `cw_{id}_{secret}`.
 *
 * [toString] leaves out the secret, so that a key cannot reach a log line by accident.
 */
public class CallerKey private constructor(public val id: String, internal val text: String) {
    /** Whether [content] contains this key. */
    public fun occursIn(content: String): Boolean = content.contains(text)

    override fun toString(): String = "CallerKey(id=$id)"

    public companion object {
        private const val PATTERN = "cw_([A-Za-z0-9.-]{1,64})_([A-Za-z0-9_-]{8,200})"
        private val EXACT_MATCH = Regex(PATTERN)
        private val OCCURRENCE = Regex("cw_[A-Za-z0-9.-]{1,64}_[A-Za-z0-9_-]{8,}")

        /** Parses a key; returns null if [text] is malformed. */
        public fun parse(text: String): CallerKey? =
            EXACT_MATCH.matchEntire(text)?.let { CallerKey(it.groupValues[1], text) }

        /** Whether any part of [text] has the form of a key. */
        public fun isPresentIn(text: String): Boolean = OCCURRENCE.containsMatchIn(text)
    }
}
