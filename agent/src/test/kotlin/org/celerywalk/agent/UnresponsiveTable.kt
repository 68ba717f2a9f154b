package org.celerywalk.agent

import arrow.core.Either
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import java.util.concurrent.CompletableFuture

/** Table whose futures never complete, as with a service that hangs. */
object UnresponsiveTable : Table {
    override fun read(keys: Set<String>) = CompletableFuture<Either<TableError, Map<String, Record>>>()

    override fun scan(prefix: String, after: String, limit: Int) =
        CompletableFuture<Either<TableError, List<Pair<String, Record>>>>()

    override fun transact(transaction: Transaction) = CompletableFuture<Either<TableError, TransactionResult>>()
}
