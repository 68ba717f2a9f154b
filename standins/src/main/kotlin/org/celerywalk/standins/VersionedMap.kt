package org.celerywalk.standins

import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Sorted map that keeps recent versions of each value, so that a read can return an earlier state.
 *
 * Not thread-safe.
 */
internal class VersionedMap<T : Any>(private val clock: TimeSource = TimeSource.Monotonic) {
    private val versionsByKey = TreeMap<String, ArrayDeque<Pair<TimeMark, T?>>>()

    operator fun set(key: String, value: T?) {
        val versions = versionsByKey.getOrPut(key) { ArrayDeque() }
        versions.addLast(clock.markNow() to value)
        while (versions.size > MAX_VERSIONS_PER_KEY) versions.removeFirst()
    }

    /** Returns the value that [key] had [age] ago, null if it had none. */
    fun get(key: String, age: Duration = Duration.ZERO): T? =
        versionsByKey[key]?.lastOrNull { it.first.elapsedNow() >= age }?.second

    /** Returns the entries whose keys start with [prefix] as they were [age] ago, in key order. */
    fun entriesWithPrefix(prefix: String, age: Duration = Duration.ZERO): Sequence<Pair<String, T>> =
        versionsByKey.tailMap(prefix).keys.asSequence()
            .takeWhile { it.startsWith(prefix) }
            .mapNotNull { key -> get(key, age)?.let { key to it } }

    private companion object {
        // A read whose age goes back beyond the kept versions of a key finds no value for it.
        const val MAX_VERSIONS_PER_KEY = 64
    }
}
