package org.celerywalk.weights

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Remembers when each weights version of a model was named, since a version ages from the moment at which the next one
 * was named, however many follow. Safe for use from several threads.
 */
public class NamedHistory(private val timeSource: TimeSource.WithComparableMarks) {
    private val named = sortedMapOf<Int, ComparableTimeMark>()

    /** Newest version, or 0 if none was named. */
    public val newest: Int
        @Synchronized get() = named.keys.lastOrNull() ?: 0

    /** Records that [version] was named [age] ago or earlier, and returns true if it is newer than all others. */
    @Synchronized
    public fun name(version: Int, age: Duration = Duration.ZERO): Boolean {
        val newer = version > newest
        val known = named[version]?.elapsedNow()
        if (known == null || known < age) named[version] = timeSource.markNow() - age
        return newer
    }

    /** Time since each version was named, oldest first. */
    @Synchronized
    public fun ages(): Map<Int, Duration> = named.mapValues { it.value.elapsedNow() }

    /** Time since a version newer than [version] was first named, or null if there is none. */
    @Synchronized
    public fun supersededFor(version: Int): Duration? =
        named.entries.firstOrNull { it.key > version }?.value?.elapsedNow()
}
