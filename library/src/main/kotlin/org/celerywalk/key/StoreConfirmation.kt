package org.celerywalk.key

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Knows how recently the configuration in force was the store's newest one.
 *
 * A confirmation counts from before the read that brought it was sent, since the store may have changed after that.
 * Safe for use from several threads.
 */
public class StoreConfirmation {
    private var confirmedAt: ComparableTimeMark? = null

    /** Records that a read sent at [readSentAt] returned the version that is in force. */
    @Synchronized
    public fun confirm(readSentAt: ComparableTimeMark) {
        val last = confirmedAt
        if (last == null || readSentAt > last) confirmedAt = readSentAt
    }

    /** Time since the last confirmation, or null if there was none. */
    @Synchronized
    public fun age(): Duration? = confirmedAt?.elapsedNow()

    /** True if the last confirmation is at most [limit] old. */
    public fun isWithin(limit: Duration): Boolean = age()?.let { it <= limit } ?: false
}
