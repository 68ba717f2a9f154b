package org.celerywalk.booking

import arrow.core.Either
import org.celerywalk.table.Condition
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

/** Write for one attempt that the table has not confirmed yet. */
internal sealed interface PendingWrite {
    val attempt: BookingAttempt

    /** Stores the outcome over the attempt's claim. */
    data class Outcome(override val attempt: BookingAttempt, val version: Long, val record: BookingRecord) :
        PendingWrite

    /** Replaces a claim that was not followed by a call with a bar. */
    data class Bar(override val attempt: BookingAttempt) : PendingWrite
}

/** Queue of writes that are retried until the table confirms them. Safe for use from several threads. */
internal class PendingWrites(
    private val table: Table,
    private val wallClock: () -> Long,
    private val budget: WriteBudget,
    private val capacity: Int,
) {
    private val queue = ArrayDeque<PendingWrite>()

    val size: Int
        @Synchronized get() = queue.size

    val isFull: Boolean
        get() = size >= capacity

    /**
     * Queues [pendingWrite] for the next [resolve]. Callers check [isFull] before they start an attempt, whose writes
     * may have to be queued.
     */
    @Synchronized
    fun add(pendingWrite: PendingWrite) {
        queue.addLast(pendingWrite)
    }

    /** Performs [pendingWrite] now, and queues it if the table does not confirm it. */
    fun write(pendingWrite: PendingWrite): CompletableFuture<Boolean> = when (pendingWrite) {
        is PendingWrite.Outcome -> writeOutcome(pendingWrite)
        is PendingWrite.Bar ->
            writeBar(pendingWrite, Condition.Absent(pendingWrite.attempt.booking.tableKey), emptyList())
    }.thenApply { isConfirmed ->
        if (!isConfirmed) add(pendingWrite)
        isConfirmed
    }

    /** Retries up to [maxWrites] queued writes one by one, until one is not confirmed or the budget is used up. */
    fun resolve(maxWrites: Int = MAX_WRITES_PER_ROUND): CompletableFuture<Unit> {
        val pendingWrite = (if (maxWrites > 0) takeFirst() else null) ?: return completed(Unit)
        return write(pendingWrite)
            .thenCompose { isConfirmed -> if (isConfirmed) resolve(maxWrites - 1) else completed(Unit) }
    }

    @Synchronized
    private fun takeFirst() =
        if (queue.isNotEmpty() && budget.tryAcquireBooking() == null) queue.removeFirst() else null

    private fun writeOutcome(outcome: PendingWrite.Outcome): CompletableFuture<Boolean> {
        val key = outcome.attempt.booking.tableKey
        return put(Condition.VersionIs(key, outcome.version), outcome.record).thenApply { result ->
            // A conflict means that an earlier write of the same outcome took effect.
            result.isRight()
        }
    }

    private fun writeBar(
        bar: PendingWrite.Bar,
        condition: Condition,
        barred: List<BarredAttempt>,
    ): CompletableFuture<Boolean> {
        val barredAttempt = BarredAttempt(bar.attempt.attemptId, bar.attempt.expiresAtMillis)
        val record = BookingRecord(BookingState.Barred, barred).withBarredAttempt(barredAttempt, wallClock())
        return put(condition, record).thenCompose { result ->
            val current = result.getOrNull()?.record(bar.attempt)
            val foundRecord = current?.let { BookingRecord.decode(it.value) }
            when {
                result.isLeft() -> completed(false)
                // A new bar changes the version of the record, so it also stops a late claim that expects the old one.
                foundRecord != null && (isClaimOf(bar.attempt, foundRecord) || lacksBarFor(bar.attempt, foundRecord)) ->
                    writeBar(bar, Condition.VersionIs(condition.key, current.version), foundRecord.barred)
                // The bar was committed, or the claim never took effect and the record belongs to another attempt.
                else -> completed(true)
            }
        }
    }

    private fun isClaimOf(attempt: BookingAttempt, record: BookingRecord) =
        (record.state as? BookingState.Claimed)?.attemptId == attempt.attemptId

    private fun lacksBarFor(attempt: BookingAttempt, record: BookingRecord) =
        record.state is BookingState.Barred && !record.isBarred(attempt.attemptId)

    private fun put(
        condition: Condition,
        record: BookingRecord,
    ): CompletableFuture<Either<TableError, TransactionResult>> =
        table.transact(Transaction(listOf(condition), listOf(Write.Put(condition.key, record.encode()))))

    private companion object {
        const val MAX_WRITES_PER_ROUND = 32
    }
}
