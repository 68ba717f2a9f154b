package org.celerywalk.configuration

import arrow.core.Either
import org.celerywalk.platform.ObjectStore
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

private const val OBJECT_NAME = "configuration/snapshot"

/**
 * Keeps a snapshot of the latest configuration in the object store, for starts without the table and peers.
 *
 * Concurrent writers can replace the snapshot by an older one, because the object store has no conditional writes. This
 * is harmless: the snapshot is used only if there is no other source, and requests with keys are refused until the set
 * of withdrawn keys is confirmed.
 */
public class SnapshotStore(private val store: ObjectStore) {
    /** Stores [document] unless the stored snapshot is newer. */
    public fun save(document: Document): CompletableFuture<Either<TableError, Unit>> = load().thenCompose { stored ->
        if ((stored.getOrNull()?.version ?: 0L) > document.version) {
            CompletableFuture.completedFuture(stored.map { })
        } else {
            store.put(OBJECT_NAME, encode(document).toByteArray())
        }
    }

    /** Reads the snapshot, null if there is none. */
    public fun load(): CompletableFuture<Either<TableError, Document?>> =
        store.get(OBJECT_NAME).thenApply { result -> result.map { it?.let { bytes -> decode(String(bytes)) } } }

    private fun encode(document: Document) = document.head().encode() + "\n" +
        formEncode(document.sections.map { (team, text) -> team.sectionName to text.yaml })

    private fun decode(text: String): Document {
        val head = ConfigurationHead.decode(text.substringBefore('\n'))
        val yaml = formDecode(text.substringAfter('\n')).toMap()
        return Document(
            head.version,
            head.sections.mapValues { (team, version) -> SectionText(version, yaml.getValue(team.sectionName)) },
        )
    }
}
