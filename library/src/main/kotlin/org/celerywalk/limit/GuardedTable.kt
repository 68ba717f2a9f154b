package org.celerywalk.limit

import arrow.core.Either
import arrow.core.left
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import java.util.concurrent.CompletableFuture

/** Table whose calls pass the bulkhead [calls]; refused calls end with [TableError.NotApplied]. */
public class GuardedTable(private val table: Table, private val calls: Bulkhead) : Table {
    override fun read(keys: Set<String>): CompletableFuture<Either<TableError, Map<String, Record>>> =
        guard("read") { table.read(keys) }

    override fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): CompletableFuture<Either<TableError, List<Pair<String, Record>>>> =
        guard("scan") { table.scan(prefix, after, limit) }

    override fun transact(transaction: Transaction): CompletableFuture<Either<TableError, TransactionResult>> =
        guard("transact") { table.transact(transaction) }

    private fun <T> guard(
        step: String,
        operation: () -> CompletableFuture<Either<TableError, T>>,
    ): CompletableFuture<Either<TableError, T>> = calls.call({ isAnswer(it) }, operation)
        ?: CompletableFuture.completedFuture(
            TableError.NotApplied(step, "table", "too many calls wait or the circuit breaker is open").left(),
        )

    // Errors do not count as answers: a call refused before it was sent does not show that the table has recovered.
    private fun <T> isAnswer(result: Either<TableError, T>) = result.isRight()
}
