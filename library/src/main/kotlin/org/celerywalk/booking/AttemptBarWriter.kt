package org.celerywalk.booking

import arrow.core.Either
import org.celerywalk.error.Execution
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

/**
 * Bars attempts in the table for a process that cannot reach the agent to which they were sent.
 *
 * A bar is a tombstone in the booking's record that excludes an attempt from running.
 *
 * @param wallClock returns milliseconds since the epoch.
 */
public class AttemptBarWriter(private val table: Table, private val wallClock: () -> Long) {
    /**
     * Ensures that [attempt] never runs, unless an attempt has claimed the booking already.
     *
     * Completes with `NOT_RUN` only if the bar is committed, and with the recorded answer if the booking is done.
     */
    public fun bar(attempt: BookingAttempt): CompletableFuture<BookingReply> = bar(attempt, null, MAX_ATTEMPTS)

    private fun bar(attempt: BookingAttempt, current: Record?, attemptsLeft: Int): CompletableFuture<BookingReply> {
        val key = attempt.booking.tableKey
        val record = current?.let { BookingRecord.decode(it.value) } ?: BookingRecord(BookingState.Barred)
        val barred = record.withBarredAttempt(BarredAttempt(attempt.attemptId, attempt.expiresAtMillis), wallClock())
        val condition = current?.let { Condition.VersionIs(key, it.version) } ?: Condition.Absent(key)
        return table.transact(Transaction(listOf(condition), listOf(Write.Put(key, barred.encode()))))
            .thenCompose { handleResult(attempt, it, attemptsLeft) }
    }

    private fun handleResult(
        attempt: BookingAttempt,
        result: Either<TableError, TransactionResult>,
        attemptsLeft: Int,
    ): CompletableFuture<BookingReply> {
        val completedReply = result.fold({ unavailableReply(it) }, { reply(attempt, it) })
        return when {
            completedReply != null -> CompletableFuture.completedFuture(completedReply)
            attemptsLeft > 1 -> bar(attempt, result.getOrNull()?.record(attempt), attemptsLeft - 1)
            else -> CompletableFuture.completedFuture(
                BookingReply.unknown("booking_contended", "the booking's record changed $MAX_ATTEMPTS times"),
            )
        }
    }

    private fun unavailableReply(error: TableError) = BookingReply.unknown("table_unavailable", error.message)

    private fun reply(attempt: BookingAttempt, result: TransactionResult): BookingReply? {
        val record = result.record(attempt)?.let { BookingRecord.decode(it.value) }
        return when {
            result is TransactionResult.Committed || record != null && record.isBarred(attempt.attemptId) ->
                BookingReply.notRun("attempt_barred", "the attempt ${attempt.attemptId} is barred")
            // The record was deleted, or it holds only bars of other attempts, so the bar must be written again.
            record == null || record.state is BookingState.Barred -> null
            else -> record.state.replyTo(attempt)
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}

internal fun TransactionResult.record(attempt: BookingAttempt): Record? =
    (this as? TransactionResult.Conflict)?.current?.get(attempt.booking.tableKey)

/** Returns the reply to [attempt], which has not claimed the booking itself, for a booking in this state. */
internal fun BookingState.replyTo(attempt: BookingAttempt): BookingReply = when (this) {
    is BookingState.Done -> if (digest == attempt.digest) {
        BookingReply(Execution.RAN, answer, replayed = true)
    } else {
        keyReusedReply(attempt, attemptId, digest)
    }
    is BookingState.Unknown ->
        if (digest == attempt.digest) unresolvedReply(attemptId) else keyReusedReply(attempt, attemptId, digest)
    // The claim may still be barred, and a delayed duplicate of this attempt could then claim the booking.
    is BookingState.Claimed -> unresolvedReply(attemptId)
    is BookingState.Barred -> unresolvedReply(attempt.attemptId)
}

private fun unresolvedReply(attemptId: String) =
    BookingReply.unknown("booking_unresolved", "attempt $attemptId of this booking has no known outcome")

private fun keyReusedReply(attempt: BookingAttempt, recordedAttemptId: String, recordedDigest: String): BookingReply {
    val message = "given a request with digest ${attempt.digest}, expected $recordedDigest as in the first request"
    // If the record belongs to this attempt, the attempt may have run with another digest than the one given now.
    val execution = if (recordedAttemptId == attempt.attemptId) Execution.UNKNOWN else Execution.NOT_RUN
    return BookingReply(execution, code = "idempotency_key_reused", message = message)
}
