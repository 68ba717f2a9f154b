package org.celerywalk.key

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Tracks when the configuration in force was last confirmed to be the latest version in the store.
 *
 * The age of a confirmation counts from before its read was sent, because the store may have changed since then.
 * Thread-safe.
 */
public class StoreConfirmation {
    private var confirmedAt: ComparableTimeMark? = null

    /** Records that a read sent at [readSentAt] returned the version in force; older reads are ignored. */
    @Synchronized
    public fun confirm(readSentAt: ComparableTimeMark) {
        val last = confirmedAt
        if (last == null || readSentAt > last) confirmedAt = readSentAt
    }

    /** Returns the time since the last confirmation, or null if there is none. */
    @Synchronized
    public fun age(): Duration? = confirmedAt?.elapsedNow()

    /** Whether there is a confirmation that is at most [limit] old. */
    public fun isWithin(limit: Duration): Boolean = age()?.let { it <= limit } ?: false
}
