package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import java.util.concurrent.CompletableFuture

// Record versions are positive, so a condition on this version never holds.
private const val IMPOSSIBLE_VERSION = -1L

/** Reads the configuration from the table. */
public class ConfigurationTable(private val table: Table) {
    /** Reads the head with a plain read, whose result may be older than the last commit. */
    public fun readHead(): CompletableFuture<Either<TableError, ConfigurationHead>> =
        table.read(setOf(ConfigurationHead.KEY)).thenApply { result -> result.map { headOf(it) } }

    /** Reads the head as of the last commit. This costs a transaction. */
    public fun readLatestHead(): CompletableFuture<Either<TableError, ConfigurationHead>> =
        readLatest(setOf(ConfigurationHead.KEY)).thenApply { result -> result.map { headOf(it) } }

    /** Reads the document that [head] names; unchanged sections are taken from [knownDocument]. */
    public fun readDocument(
        head: ConfigurationHead,
        knownDocument: Document,
    ): CompletableFuture<Either<TableError, Document>> {
        val newVersions = head.sections.filter { (team, version) -> knownDocument.sections[team]?.version != version }
        val keys = newVersions.map { (team, version) -> sectionKey(team, version) }.toSet()
        if (keys.isEmpty()) return CompletableFuture.completedFuture(assembleDocument(head, knownDocument, emptyMap()))
        return table.read(keys).thenCompose { result ->
            val rows = result.getOrNull()
            // A plain read can return a state before the commit of the head.
            if (rows != null && rows.size < keys.size) readLatest(keys) else CompletableFuture.completedFuture(result)
        }.thenApply { result -> result.fold({ it.left() }, { assembleDocument(head, knownDocument, it) }) }
    }

    /** Reads the audit records of the last [limit] committed changes, oldest first. */
    public fun readAuditRecords(limit: Int): CompletableFuture<Either<TableError, List<AuditRecord>>> =
        readLatestHead().thenCompose { result ->
            val lastVersion = result.getOrNull()?.version ?: 0L
            val keys = (maxOf(1, lastVersion - limit + 1)..lastVersion).map(AuditRecord::key)
            when (result) {
                is Either.Left -> CompletableFuture.completedFuture(result)
                is Either.Right -> readLatest(keys.toSet()).thenApply { readResult ->
                    readResult.map { records -> keys.mapNotNull { records[it] }.map { AuditRecord.decode(it.value) } }
                }
            }
        }

    /**
     * Reads the state of [keys] as of the last commit, with a transaction that never commits.
     *
     * Plain reads can be stale. A transaction is not, and its conflict result contains the current records.
     */
    internal fun readLatest(keys: Set<String>): CompletableFuture<Either<TableError, Map<String, Record>>> =
        table.transact(Transaction(keys.map { Condition.VersionIs(it, IMPOSSIBLE_VERSION) }, emptyList()))
            .thenApply { result ->
                result.map { if (it is TransactionResult.Conflict) it.current else emptyMap() }
            }

    private fun assembleDocument(
        head: ConfigurationHead,
        knownDocument: Document,
        records: Map<String, Record>,
    ): Either<TableError, Document> {
        val sections = head.sections.mapValues { (team, version) ->
            records[sectionKey(team, version)]?.let { SectionText(version, it.value) }
                ?: knownDocument.sections[team]?.takeIf { it.version == version }
        }
        val missing = sections.filterValues { it == null }.keys
        return if (missing.isEmpty()) {
            Document(head.version, sections.mapValues { checkNotNull(it.value) }).right()
        } else {
            val names = missing.joinToString { sectionKey(it, head.sections.getValue(it)) }
            TableError.NotApplied("read sections", "table", "the head names $names, but the table has no record").left()
        }
    }

    private fun headOf(records: Map<String, Record>) =
        records[ConfigurationHead.KEY]?.let { ConfigurationHead.decode(it.value) } ?: ConfigurationHead.EMPTY
}
