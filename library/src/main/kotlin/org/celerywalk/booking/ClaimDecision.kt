package org.celerywalk.booking

import arrow.core.Either
import org.celerywalk.table.Record
import org.celerywalk.table.TableError
import org.celerywalk.table.TransactionResult

/** Next step of an attempt after the table's answer to its claim. */
internal sealed interface ClaimDecision {
    /** The attempt holds the claim, in [version] of the booking's record. */
    data class Owned(val version: Long) : ClaimDecision

    /** The attempt has failed to claim the booking and gets [reply]. */
    data class Reply(val reply: BookingReply) : ClaimDecision

    /** The claim must be retried. [mayTakeEffect] is true if the failed claim may still take effect. */
    data class Retry(val current: Record?, val mayTakeEffect: Boolean) : ClaimDecision

    companion object {
        fun of(attempt: BookingAttempt, result: Either<TableError, TransactionResult>): ClaimDecision = result.fold(
            { error ->
                when (error) {
                    is TableError.NotApplied -> Reply(BookingReply.notRun("table_unavailable", error.message))
                    is TableError.OutcomeUnknown -> Retry(null, mayTakeEffect = true)
                }
            },
            { answer ->
                when (answer) {
                    is TransactionResult.Committed -> Owned(answer.version)
                    is TransactionResult.Conflict -> fromConflict(attempt, answer.record(attempt))
                }
            },
        )

        private fun fromConflict(attempt: BookingAttempt, current: Record?): ClaimDecision {
            val record = current?.let { BookingRecord.decode(it.value) } ?: return Retry(null, mayTakeEffect = false)
            val state = record.state
            return when {
                state is BookingState.Claimed && state.attemptId == attempt.attemptId -> Owned(current.version)
                record.isBarred(attempt.attemptId) ->
                    Reply(BookingReply.notRun("attempt_barred", "the attempt ${attempt.attemptId} is barred"))
                state is BookingState.Barred -> Retry(current, mayTakeEffect = false)
                else -> Reply(state.replyTo(attempt))
            }
        }
    }
}
