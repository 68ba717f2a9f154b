package org.celerywalk.key

import org.celerywalk.configuration.Configuration
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Ids of the keys that were withdrawn outside the configuration. The set only grows. Thread-safe. */
public class WithdrawnKeys {
    private data class IdSet(val ids: Set<String>, val digest: Long)

    @Volatile
    private var current = IdSet(emptySet(), 0)

    /** Ids of all withdrawn keys. */
    public val ids: Set<String> get() = current.ids

    /** Hash over the sorted ids, the same in all processes with the same ids; 0 if there are none. */
    public val digest: Long get() = current.digest

    /** Whether the key with [id] was withdrawn. */
    public operator fun contains(id: String): Boolean = id in current.ids

    /** Adds [ids]; returns true if at least one was new. */
    @Synchronized
    public fun add(ids: Collection<String>): Boolean {
        val allIds = current.ids + ids
        val hasNewIds = allIds.size > current.ids.size
        if (hasNewIds) current = IdSet(allIds, digestOf(allIds))
        return hasNewIds
    }

    /** Returns the ids whose entries in [configuration] are not marked as withdrawn yet. */
    public fun unrecordedIds(configuration: Configuration): Set<String> =
        configuration.security.keys.filter { !it.withdrawn && it.id in current.ids }.map { it.id }.toSet()

    private fun digestOf(ids: Set<String>): Long {
        val bytes = MessageDigest.getInstance("SHA-256").digest(ids.sorted().joinToString("\n").toByteArray())
        return ByteBuffer.wrap(bytes).long
    }
}
