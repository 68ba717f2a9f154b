package org.celerywalk.standins.engine

import org.celerywalk.standins.standInJson
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Handles the API calls that read or transfer an engine's prefix cache. Thread-safe. */
internal class CacheApi(
    private val lock: ReentrantLock,
    private val cache: PrefixCache,
    private val incarnation: () -> String,
    private val settings: () -> EngineSettings,
) {
    fun events(after: Long): CacheEventsReply = lock.withLock {
        val (lastSequence, events) = cache.eventsAfter(after)
        CacheEventsReply(incarnation(), lastSequence, events)
    }

    fun residentPieces(): CacheEventsReply = lock.withLock {
        val lastSequence = cache.lastSequence()
        CacheEventsReply(
            incarnation(),
            lastSequence,
            cache.residentNames().map { WireCacheEvent(lastSequence, it, true) },
        )
    }

    fun export(body: ExportBody): ByteArray = lock.withLock {
        val export = Export(body.cacheScope, settings().weights, cache.exportPieces(body.pieces.toSet()))
        standInJson.writeValueAsBytes(export)
    }

    fun import(cacheScope: String, content: ByteArray): Refusal? = lock.withLock {
        val export = standInJson.readValue(content, Export::class.java)
        if (export.weights == settings().weights && export.cacheScope == cacheScope) {
            cache.add(export.pieces.map { it.content }, export.pieces.map { it.name })
            null
        } else {
            Refusal(Refusal.CONFLICT, "the export is for weights ${export.weights} in scope ${export.cacheScope}")
        }
    }
}
