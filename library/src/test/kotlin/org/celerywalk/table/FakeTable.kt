package org.celerywalk.table

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.CompletableFuture

/**
 * In-memory table with scripted faults.
 *
 * [fault] is called once for each call and returns the fault to inject: an outage, a lost request or answer, a delayed
 * call, or a read that misses the last commit.
 */
class FakeTable(var fault: (FakeTableCall) -> FakeTableFault = { FakeTableFault.NONE }) : Table {
    private val records = sortedMapOf<String, Record>()
    private val delayedCalls = mutableListOf<() -> Unit>()
    private var previousRecords = emptyMap<String, Record>()
    private var commitCount = 0L
    var reads = 0
        private set
    var writes = 0
        private set

    override fun read(keys: Set<String>): CompletableFuture<Either<TableError, Map<String, Record>>> = answer(
        FakeTableCall.READ,
    ) { source ->
        reads++
        source.filterKeys { it in keys }.toMap()
    }

    override fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): CompletableFuture<Either<TableError, List<Pair<String, Record>>>> = answer(FakeTableCall.READ) { source ->
        reads++
        source.toSortedMap().entries
            .filter { it.key.startsWith(prefix) && it.key > after }
            .take(limit)
            .map { it.key to it.value }
    }

    override fun transact(transaction: Transaction): CompletableFuture<Either<TableError, TransactionResult>> = answer(
        FakeTableCall.TRANSACT,
    ) { _ -> commit(transaction) }

    /** Executes the calls that [FakeTableFault.LATE] delayed; their callers have already got a timeout. */
    fun deliverLate() {
        val calls = delayedCalls.toList()
        delayedCalls.clear()
        calls.forEach { it() }
    }

    fun record(key: String): Record? = records[key]

    private fun commit(transaction: Transaction): TransactionResult {
        val holds = transaction.conditions.all { condition ->
            when (condition) {
                is Condition.Absent -> condition.key !in records
                is Condition.VersionIs -> records[condition.key]?.version == condition.version
            }
        }
        if (!holds) {
            val keys = transaction.conditions.map { it.key }.toSet()
            return TransactionResult.Conflict(records.filterKeys { it in keys }.toMap())
        }
        writes++
        commitCount++
        previousRecords = records.toMap()
        transaction.writes.forEach { write ->
            when (write) {
                is Write.Put -> records[write.key] = Record(write.value, commitCount)
                is Write.Delete -> records.remove(write.key)
            }
        }
        return TransactionResult.Committed(commitCount)
    }

    private fun <T> answer(
        call: FakeTableCall,
        body: (Map<String, Record>) -> T,
    ): CompletableFuture<Either<TableError, T>> {
        val result = when (fault(call)) {
            FakeTableFault.NONE -> body(records).right()
            FakeTableFault.STALE -> body(previousRecords).right()
            FakeTableFault.DOWN -> TableError.NotApplied("$call", "table", "the table is down").left()
            FakeTableFault.ANSWER_LOST -> {
                body(records)
                TableError.OutcomeUnknown("$call", "table", "the answer was lost").left()
            }
            FakeTableFault.LATE -> {
                delayedCalls += { body(records) }
                TableError.OutcomeUnknown("$call", "table", "no answer in time").left()
            }
            FakeTableFault.REQUEST_LOST -> TableError.OutcomeUnknown("$call", "table", "no answer in time").left()
        }
        return CompletableFuture.completedFuture(result)
    }
}

enum class FakeTableCall { READ, TRANSACT }

enum class FakeTableFault { NONE, DOWN, ANSWER_LOST, REQUEST_LOST, LATE, STALE }
