package org.celerywalk.booking

import org.celerywalk.error.Execution
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.Transaction
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture

/** Runs an admitted attempt: claims the booking, calls the service and records the outcome. */
internal class BookingExecutor(
    private val incarnation: String,
    private val table: Table,
    private val budget: WriteBudget,
    private val ledger: AttemptLedger,
    private val pendingWrites: PendingWrites,
) {
    /** Claims the booking for [attempt], and calls the service if the table confirms the claim. */
    fun claim(attempt: BookingAttempt, call: BookingCall): CompletableFuture<BookingReply> =
        claim(attempt, call, null, MAX_CLAIM_ATTEMPTS, false)

    private fun claim(
        attempt: BookingAttempt,
        call: BookingCall,
        current: Record?,
        attemptsLeft: Int,
        mayBeClaimed: Boolean,
    ): CompletableFuture<BookingReply> {
        val key = attempt.booking.tableKey
        val barred = current?.let { BookingRecord.decode(it.value).barred }.orEmpty()
        val state = BookingState.Claimed(attempt.attemptId, incarnation, attempt.digest)
        val condition = current?.let { Condition.VersionIs(key, it.version) } ?: Condition.Absent(key)
        val put = Write.Put(key, BookingRecord(state, barred).encode())
        return table.transact(Transaction(listOf(condition), listOf(put))).thenCompose { result ->
            when (val decision = ClaimDecision.of(attempt, result)) {
                is ClaimDecision.Owned -> startCall(attempt, decision.version, barred, call)
                is ClaimDecision.Reply -> completed(refuse(attempt, decision.reply, mayBeClaimed))
                is ClaimDecision.Retry -> if (attemptsLeft > 1) {
                    budget.chargeExtraWrite()
                    claim(
                        attempt,
                        call,
                        decision.current ?: current,
                        attemptsLeft - 1,
                        mayBeClaimed || decision.mayTakeEffect,
                    )
                } else {
                    val reply = BookingReply.notRun("table_unavailable", "the table did not confirm the claim")
                    completed(refuse(attempt, reply, mayBeClaimed || decision.mayTakeEffect))
                }
            }
        }
    }

    private fun refuse(attempt: BookingAttempt, reply: BookingReply, mayBeClaimed: Boolean): BookingReply {
        ledger.refuseAttempt(attempt.attemptId)
        if (mayBeClaimed) pendingWrites.add(PendingWrite.Bar(attempt))
        return reply
    }

    private fun startCall(
        attempt: BookingAttempt,
        version: Long,
        barred: List<BarredAttempt>,
        call: BookingCall,
    ): CompletableFuture<BookingReply> {
        if (!ledger.start(attempt)) {
            val reply = BookingReply.notRun("attempt_not_started", "the attempt was barred or has expired")
            return completed(refuse(attempt, reply, mayBeClaimed = true))
        }
        return call.send().thenApply { result ->
            ledger.recordResult(attempt.attemptId, result)
            recordOutcome(attempt, version, barred, result)
            result.toReply()
        }
    }

    private fun recordOutcome(attempt: BookingAttempt, version: Long, barred: List<BarredAttempt>, result: CallResult) {
        val state = when (result) {
            is CallResult.Answered -> BookingState.Done(attempt.attemptId, attempt.digest, result.answer)
            is CallResult.Lost -> BookingState.Unknown(attempt.attemptId, attempt.digest)
            is CallResult.NotSent -> null
        }
        val pendingWrite = state?.let { PendingWrite.Outcome(attempt, version, BookingRecord(it, barred)) }
            ?: PendingWrite.Bar(attempt)
        pendingWrites.write(pendingWrite)
    }

    private companion object {
        const val MAX_CLAIM_ATTEMPTS = 3
    }
}

private fun CallResult.toReply() = when (this) {
    is CallResult.Answered -> BookingReply(Execution.RAN, answer)
    is CallResult.NotSent -> BookingReply.notRun("service_unreachable", message)
    is CallResult.Lost -> BookingReply.unknown("service_answer_lost", message)
}
