package org.celerywalk.endpoint

import arrow.core.Either
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

/** Fencing token of an endpoint, with the version of its record, which grows when another agent takes over. */
internal data class FencingToken(val number: Long, val version: Long)

/** Issues the next fencing token of [endpoint] to the agent [incarnation] from a counter in the table. */
internal class FencingTokenIssuer(endpoint: String, private val incarnation: String, private val table: Table) {
    val key = "fence/$endpoint"

    /** Increments the counter; completes with null if the table did not confirm it, and the caller should retry. */
    fun acquire(): CompletableFuture<FencingToken?> = table.read(setOf(key)).thenCompose { read ->
        read.fold({ completed(null) }, { increment(it[key], MAX_ATTEMPTS) })
    }

    private fun increment(current: Record?, attemptsLeft: Int): CompletableFuture<FencingToken?> {
        val number = (current?.value?.substringBefore(" ")?.toLong() ?: 0) + 1
        val condition = current?.let { Condition.VersionIs(key, it.version) } ?: Condition.Absent(key)
        val put = Write.Put(key, "$number $incarnation")
        return table.transact(Transaction(listOf(condition), listOf(put)))
            .thenCompose { handleResult(it, number, attemptsLeft) }
    }

    private fun handleResult(
        result: Either<TableError, TransactionResult>,
        number: Long,
        attemptsLeft: Int,
    ): CompletableFuture<FencingToken?> = when (val answer = result.getOrNull()) {
        null -> completed(null)
        is TransactionResult.Committed -> completed(FencingToken(number, answer.version))
        is TransactionResult.Conflict -> {
            // A record with this agent's incarnation is its own earlier increment, whose answer was lost.
            val current = answer.current[key]
            when {
                current?.value?.substringAfter(" ") == incarnation ->
                    completed(FencingToken(current.value.substringBefore(" ").toLong(), current.version))
                attemptsLeft > 1 -> increment(current, attemptsLeft - 1)
                else -> completed(null)
            }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}

internal fun <T> completed(value: T): CompletableFuture<T> = CompletableFuture.completedFuture(value)
