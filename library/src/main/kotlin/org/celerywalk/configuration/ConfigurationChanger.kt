package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

// Limits the wait of the operator when the table keeps failing; the operator can retry with the same change id.
private const val MAX_FAILURES = 4

// Each conflict means that another change was committed after the state was read.
private const val MAX_CONFLICTS = 32

/**
 * Commits changes of the configuration with optimistic concurrency control.
 *
 * Sections, head, audit record and change id are written in one transaction, on the condition that the head is
 * unchanged and the change id is new. If the outcome of a commit is unknown, the change is retried and finds the record
 * of its change id if it was committed.
 */
public class ConfigurationChanger(private val table: Table, private val codec: DocumentCodec) {
    private val reader = ConfigurationTable(table)

    /** Validates and commits [change]; the future completes normally in every case. */
    public fun apply(change: Change): CompletableFuture<ChangeResult> =
        ChangeOperation(change.changeId) { base -> proposeChange(change, base, codec) }.start()

    /**
     * Marks the keys with [ids] as withdrawn; ids without an entry are ignored.
     *
     * @param operator name for the audit trail; the caller has authenticated it.
     */
    public fun withdraw(
        ids: Set<String>,
        operator: String,
        changeId: String,
        timestampMillis: Long,
    ): CompletableFuture<ChangeResult> =
        ChangeOperation(changeId) { base -> proposeWithdrawal(ids, operator, timestampMillis, base, codec) }.start()

    /** Runs one change, with retries after conflicts and failures of the table. */
    private inner class ChangeOperation(
        private val changeId: String,
        private val propose: (ChangeBase) -> Either<ChangeResult, Proposal>,
    ) {
        private var failureCount = 0
        private var conflictCount = 0
        private var mayBeCommitted = false

        fun start(): CompletableFuture<ChangeResult> = readBase().thenCompose { base ->
            base.fold({ retryOrFail(it) }, { propose(it).fold(::completed, { proposal -> commit(it, proposal) }) })
        }

        private fun readBase(): CompletableFuture<Either<TableError, ChangeBase>> =
            reader.readLatest(setOf(ConfigurationHead.KEY, changeKey(changeId))).thenCompose { result ->
                when (result) {
                    is Either.Left -> CompletableFuture.completedFuture(result)
                    is Either.Right -> readSections(result.value)
                }
            }

        private fun readSections(records: Map<String, Record>): CompletableFuture<Either<TableError, ChangeBase>> {
            val headRecord = records[ConfigurationHead.KEY]
            val head = headRecord?.let { ConfigurationHead.decode(it.value) } ?: ConfigurationHead.EMPTY
            val previousCommit = records[changeKey(changeId)]?.let { ChangeRecord.decode(it.value) }
            return reader.readDocument(head, Document.EMPTY).thenApply { result ->
                result.flatMap { ChangeBase(it, headRecord?.version, previousCommit).right() }
            }
        }

        private fun commit(base: ChangeBase, proposal: Proposal): CompletableFuture<ChangeResult> =
            table.transact(transactionOf(changeId, base, proposal)).thenCompose { result ->
                result.fold(::retryOrFail) { answer ->
                    when (answer) {
                        is TransactionResult.Committed ->
                            completed(ChangeResult.Applied(proposal.document, proposal.audit.difference))
                        is TransactionResult.Conflict -> retryAfterConflict()
                    }
                }
            }

        private fun retryAfterConflict(): CompletableFuture<ChangeResult> {
            conflictCount++
            return if (conflictCount < MAX_CONFLICTS) start() else unavailable("too many concurrent changes")
        }

        private fun retryOrFail(error: TableError): CompletableFuture<ChangeResult> {
            failureCount++
            mayBeCommitted = mayBeCommitted || error is TableError.OutcomeUnknown
            return if (failureCount < MAX_FAILURES) start() else unavailable("${error.step}: ${error.message}")
        }

        private fun unavailable(problem: String) = completed(ChangeResult.Unavailable(problem, mayBeCommitted))

        private fun completed(result: ChangeResult) = CompletableFuture.completedFuture(result)
    }
}

/**
 * The committed state on which a change is based.
 *
 * @property headRecordVersion version of the head's record in the table, null in an empty table.
 * @property previousCommit record of an earlier commit with the same change id, null if there is none.
 */
internal data class ChangeBase(
    val document: Document,
    val headRecordVersion: Long?,
    val previousCommit: ChangeRecord?,
)

/**
 * A validated change that is ready to be committed.
 *
 * @property changedTeams teams whose sections the change writes.
 * @property digest digest of the submitted content, which tells a retry from another change with the same id.
 */
internal data class Proposal(
    val document: Document,
    val changedTeams: Set<Team>,
    val audit: AuditRecord,
    val digest: String,
)

/** Idempotency record of a change id: the version that it was committed as and the digest of its content. */
internal data class ChangeRecord(val version: Long, val digest: String) {
    fun encode() = formEncode(listOf("version" to "$version", "digest" to digest))

    companion object {
        fun decode(value: String): ChangeRecord = formDecode(value).toMap().let {
            ChangeRecord(it.getValue("version").toLong(), it.getValue("digest"))
        }
    }
}

private fun transactionOf(changeId: String, base: ChangeBase, proposal: Proposal): Transaction {
    val version = proposal.document.version
    val headUnchanged = base.headRecordVersion?.let { Condition.VersionIs(ConfigurationHead.KEY, it) }
        ?: Condition.Absent(ConfigurationHead.KEY)
    val sections = proposal.changedTeams.map { team ->
        Write.Put(sectionKey(team, version), proposal.document.sections.getValue(team).yaml)
    }
    return Transaction(
        conditions = listOf(headUnchanged, Condition.Absent(changeKey(changeId))),
        writes = sections + listOf(
            Write.Put(ConfigurationHead.KEY, proposal.document.head().encode()),
            Write.Put(AuditRecord.key(version), proposal.audit.copy(changeId = changeId).encode()),
            Write.Put(changeKey(changeId), ChangeRecord(version, proposal.digest).encode()),
        ),
    )
}
