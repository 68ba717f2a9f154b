package org.celerywalk.weights

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Records when each weights version of a model was published.
 *
 * A version counts as superseded from the moment at which its first successor was published, however many versions
 * follow. Safe for use from several threads.
 */
public class WeightHistory(private val timeSource: TimeSource.WithComparableMarks) {
    private val firstPublishedAt = sortedMapOf<Int, ComparableTimeMark>()

    /** Newest published version, or 0 if there is none. */
    public val newestVersion: Int
        @Synchronized get() = firstPublishedAt.keys.lastOrNull() ?: 0

    /**
     * Records that [version] was published at least [age] ago, and returns true if it is newer than all known versions.
     *
     * Repeated calls for one version keep the greatest age.
     */
    @Synchronized
    public fun recordPublication(version: Int, age: Duration = Duration.ZERO): Boolean {
        val isNewest = version > newestVersion
        val knownAge = firstPublishedAt[version]?.elapsedNow()
        if (knownAge == null || knownAge < age) firstPublishedAt[version] = timeSource.markNow() - age
        return isNewest
    }

    /** Returns the time since each version was published, by version in ascending order. */
    @Synchronized
    public fun versionAges(): Map<Int, Duration> = firstPublishedAt.mapValues { it.value.elapsedNow() }

    /** Returns the time since the first successor of [version] was published, or null if there is no newer version. */
    @Synchronized
    public fun timeSinceSuperseded(version: Int): Duration? =
        firstPublishedAt.entries.firstOrNull { it.key > version }?.value?.elapsedNow()
}
