package org.celerywalk.simulation

import arrow.core.Either
import arrow.core.left
import org.celerywalk.table.FakeTable
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import java.util.concurrent.CompletableFuture

/**
 * Simulates the access of [process] to [table] with delays, refused requests, lost requests and answers, and requests
 * that take effect after the timeout of their caller.
 *
 * @property isDown returns true during an outage of the table.
 */
class SimulatedTable(
    private val simulation: Simulation,
    private val process: SimulatedProcess,
    private val table: FakeTable,
    private val faultPercent: () -> Int,
    private val isDown: () -> Boolean,
) : Table {
    override fun read(keys: Set<String>) = call { table.read(keys) }

    override fun scan(
        prefix: String,
        after: String,
        limit: Int,
    ): CompletableFuture<Either<TableError, List<Pair<String, Record>>>> = call { table.scan(prefix, after, limit) }

    override fun transact(transaction: Transaction): CompletableFuture<Either<TableError, TransactionResult>> =
        call { table.transact(transaction) }

    private fun <T> call(
        operation: () -> CompletableFuture<Either<TableError, T>>,
    ): CompletableFuture<Either<TableError, T>> {
        val answer = CompletableFuture<Either<TableError, T>>()
        val isFaulty = simulation.randomBoolean(faultPercent())
        val isLost = isDown() || isFaulty && simulation.randomBoolean(LOST_PERCENT)
        when {
            isDown() && simulation.randomBoolean(LOST_PERCENT) -> process.schedule(1) {
                answer.complete(TableError.NotApplied("call", "table", "the table is down").left())
            }
            else -> {
                process.schedule(TIMEOUT_MILLIS) {
                    answer.complete(TableError.OutcomeUnknown("call", "table", "no answer in time").left())
                }
                val delayMillis = if (isFaulty) simulation.random.nextLong(MAX_DELAY_MILLIS) else 1
                if (!isLost) simulation.schedule(delayMillis) { respond(operation().join(), answer, isFaulty) }
            }
        }
        return answer
    }

    private fun <T> respond(
        result: Either<TableError, T>,
        answer: CompletableFuture<Either<TableError, T>>,
        isFaulty: Boolean,
    ) {
        val delay = if (isFaulty) simulation.random.nextLong(MAX_DELAY_MILLIS) else 1
        if (!isFaulty || simulation.randomBoolean(LOST_PERCENT)) process.schedule(delay) { answer.complete(result) }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
        const val MAX_DELAY_MILLIS = 8_000L
        const val LOST_PERCENT = 50
    }
}
