package org.celerywalk.booking

import org.celerywalk.error.Execution
import org.celerywalk.table.Table
import java.util.concurrent.CompletableFuture

/** Call of a plain service. */
public fun interface BookingCall {
    /** Sends the call exactly once, without automatic retries. */
    public fun send(): CompletableFuture<CallResult>
}

/**
 * Runs each booking, a call of a plain service that must not be repeated, at most once.
 *
 * The reply to an attempt is `NOT_RUN` only if the attempt never runs. A booking costs two writes to the table: the
 * claim and the outcome. A claim whose answer was lost is retried; the retry finds either no record or the attempt's
 * own claim. If the table does not answer at all, the attempt is refused, and [retryPendingWrites] bars its claim when
 * the table answers again.
 *
 * @param incarnation incarnation of this agent.
 * @param wallClock returns milliseconds since the epoch.
 * @param attemptCapacity number of attempts to remember.
 */
public class Bookings(
    private val incarnation: String,
    table: Table,
    wallClock: () -> Long,
    private val budget: WriteBudget,
    attemptCapacity: Int = MAX_REMEMBERED_ATTEMPTS,
) {
    private val ledger = AttemptLedger(wallClock, attemptCapacity)
    private val barWriter = AttemptBarWriter(table, wallClock)
    private val pendingWrites = PendingWrites(table, wallClock, budget, MAX_PENDING_WRITES)
    private val executor = BookingExecutor(incarnation, table, budget, ledger, pendingWrites)

    /** Number of writes that the table has not confirmed yet. */
    public val pendingWriteCount: Int
        get() = pendingWrites.size

    /** Runs [attempt] with [call] if no attempt of the same booking has run. */
    public fun run(attempt: BookingAttempt, call: BookingCall): CompletableFuture<BookingReply> =
        admit(attempt) { admitted(attempt, call) }

    /** Refuses [attempt] before it claims the booking, for example because the endpoint drains. */
    public fun refuse(attempt: BookingAttempt, code: String, message: String): CompletableFuture<BookingReply> =
        admit(attempt) { completed(refused(attempt, code, message)) }

    /** Bars an attempt; the result is `UNKNOWN` unless the attempt was addressed to this incarnation. */
    public fun bar(attemptId: String, agentIncarnation: String, expiresAtMillis: Long): Execution =
        if (agentIncarnation == incarnation) ledger.barAttempt(attemptId, expiresAtMillis) else Execution.UNKNOWN

    /** Retries writes that the table did not confirm. The caller repeats this about once a second. */
    public fun retryPendingWrites(): CompletableFuture<Unit> = pendingWrites.resolve()

    private fun admit(
        attempt: BookingAttempt,
        admitted: () -> CompletableFuture<BookingReply>,
    ): CompletableFuture<BookingReply> {
        // The addressed incarnation may have run the attempt, so only the table has the outcome.
        if (attempt.agentIncarnation != incarnation) return barWriter.bar(attempt)
        return when (ledger.admit(attempt)) {
            AttemptLedger.Admission.ADMITTED -> admitted()
            AttemptLedger.Admission.EXPIRED -> barWriter.bar(attempt)
            AttemptLedger.Admission.REFUSED_BEFORE ->
                completed(BookingReply.notRun("attempt_refused", "the attempt was refused before"))
            AttemptLedger.Admission.SEEN ->
                completed(BookingReply.unknown("attempt_repeated", "the attempt arrived before"))
        }
    }

    private fun admitted(attempt: BookingAttempt, call: BookingCall): CompletableFuture<BookingReply> {
        val isQueueFull = pendingWrites.isFull
        val wait = if (isQueueFull) null else budget.tryAcquireBooking()
        return when {
            isQueueFull -> completed(refused(attempt, "table_unavailable", "too many records wait for the table"))
            wait != null -> completed(
                refused(attempt, "booking_rate", "the share of the table's writes is used up").copy(retryAfter = wait),
            )
            else -> executor.claim(attempt, call)
        }
    }

    private fun refused(attempt: BookingAttempt, code: String, message: String): BookingReply {
        ledger.refuseAttempt(attempt.attemptId)
        return BookingReply.notRun(code, message)
    }

    private companion object {
        // An attempt takes about 150 bytes; 100 attempts a second for 35 s fill a quarter of this capacity.
        const val MAX_REMEMBERED_ATTEMPTS = 16_384

        // New bookings are refused when this many writes are unconfirmed.
        const val MAX_PENDING_WRITES = 1_024
    }
}

internal fun <T> completed(value: T): CompletableFuture<T> = CompletableFuture.completedFuture(value)
