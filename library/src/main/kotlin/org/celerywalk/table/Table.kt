package org.celerywalk.table

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/**
 * Client of the platform's transactional key-value table.
 *
 * Futures always complete normally; failures are [TableError] values. A read may be stale, so it can miss an earlier
 * commit. A transaction always checks its conditions against the latest state.
 */
public interface Table {
    /** Reads the records of [keys]; absent keys are missing from the result. */
    public fun read(keys: Set<String>): CompletableFuture<Either<TableError, Map<String, Record>>>

    /** Reads up to [limit] records whose keys start with [prefix] and are greater than [after], in key order. */
    public fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): CompletableFuture<Either<TableError, List<Pair<String, Record>>>>

    /** Applies [transaction] atomically. */
    public fun transact(transaction: Transaction): CompletableFuture<Either<TableError, TransactionResult>>
}
