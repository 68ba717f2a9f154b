package org.celerywalk.account

import arrow.core.Either
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import java.util.concurrent.CompletableFuture
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/**
 * Acquires, renews and releases this process's leased share of all account rates in one record of the table.
 *
 * Call [updateLease] about once a second, each call after the future of the previous call has completed. [weight] may
 * be read from any thread. These rules keep the sum of the weights in use at or below 1:
 * - a lower weight takes effect before it is committed, a higher one only after the commit;
 * - the share is not used after the lease has expired on this process's own clock;
 * - the share of another process is freed only after it was observed unrenewed for longer than its lease and a margin.
 */
public class ShareLeaseManager(
    private val instance: String,
    private val incarnation: String,
    private val table: Table,
    private val clock: TimeSource.WithComparableMarks,
    private val lease: ShareLeaseTiming = ShareLeaseTiming(),
) {
    private val startedAt = clock.markNow()
    private val observations = mutableMapOf<String, Observation>()
    private val renewalsSentAt = mutableMapOf<Long, ComparableTimeMark>()
    private var latestRecord: Record? = null
    private var renewalNumber = 0L

    // Version of the record that the last transaction was sent against.
    private var attemptedVersion = 0L
    private var isLeaving = false

    @Volatile
    private var confirmedAt: ComparableTimeMark? = null

    // Upper bound of the weight in use, in millionths: set before a lower weight is committed.
    @Volatile
    private var weightCeiling = WHOLE_SHARE_MILLIONTHS

    // Weight of this process in the latest known record, in millionths.
    @Volatile
    private var committedWeight = 0

    /** Fraction of all rates that this process may use now, from 0 to 1; 0 without a valid lease. */
    public val weight: Double
        get() {
            val isLeaseValid = confirmedAt?.let { it.elapsedNow() < lease.validity } == true
            return if (isLeaseValid) min(committedWeight, weightCeiling).toDouble() / WHOLE_SHARE_MILLIONTHS else 0.0
        }

    /** Reads the record and updates it if needed. [minimumWeight] returns the weight, 0 to 1, that open loans need. */
    public fun updateLease(minimumWeight: () -> Double): CompletableFuture<Unit> =
        table.read(setOf(ShareRecord.SHARE_RECORD_KEY)).thenCompose { read ->
            read.fold(
                { COMPLETED },
                { applyChange(it[ShareRecord.SHARE_RECORD_KEY], minimumWeight, MAX_CONFLICT_RETRIES) },
            )
        }

    /** Whether this process is leaving and the latest known record holds no share of it. */
    public val hasReleasedShare: Boolean
        @Synchronized get() =
            isLeaving && ShareRecord.decode(latestRecord?.value.orEmpty()).findHolder(incarnation) == null

    /**
     * Stops using the share at once; later calls of [updateLease] release it as soon as the loans from it have expired.
     *
     * Call it after the last request has ended.
     */
    @Synchronized
    public fun leave() {
        isLeaving = true
        weightCeiling = 0
    }

    private fun applyChange(record: Record?, minimumWeight: () -> Double, retries: Int): CompletableFuture<Unit> {
        val change = planChange(record, minimumWeight) ?: return COMPLETED
        return table.transact(change.transaction).thenCompose { result ->
            handleResult(change, result)
            val conflict = result.getOrNull() as? TransactionResult.Conflict
            if (conflict == null || retries == 0) {
                COMPLETED
            } else {
                applyChange(conflict.current[ShareRecord.SHARE_RECORD_KEY], minimumWeight, retries - 1)
            }
        }
    }

    @Synchronized
    private fun planChange(record: Record?, minimumWeight: () -> Double): Change? {
        val latest = latestRecord
        // A read may return an older version than one that this process has already seen.
        val isStale = latest != null && (record == null || record.version < latest.version)
        if (!isStale) applyRecord(record)
        val current = ShareRecord.decode(latestRecord?.value.orEmpty())
        val nextRecord = if (isLeaving) releaseShare(current, minimumWeight()) else renewShare(current, minimumWeight)
        if (nextRecord == null) return null
        attemptedVersion = latestRecord?.version ?: 0
        return Change(nextRecord, latestRecord?.version, clock.markNow(), renewalNumber)
            .also { renewalsSentAt[it.renewalNumber] = it.sentAt }
    }

    private fun applyRecord(record: Record?) {
        if (record == null) return
        latestRecord = record
        val holders = ShareRecord.decode(record.value).holders
        val own = holders.find { it.incarnation == incarnation }
        committedWeight = own?.weightMillionths ?: 0
        // A transaction whose answer was lost can still lower the share until the record has a newer version.
        if (!isLeaving && record.version > attemptedVersion) weightCeiling = WHOLE_SHARE_MILLIONTHS
        own?.let { renewalsSentAt[it.renewalNumber] }?.let { confirm(it) }
        observations.keys.retainAll(holders.map { it.incarnation }.toSet())
        holders.forEach { holder ->
            if (observations[holder.incarnation]?.renewalNumber != holder.renewalNumber) {
                observations[holder.incarnation] = Observation(holder.renewalNumber, clock.markNow())
            }
        }
    }

    private fun confirm(sentAt: ComparableTimeMark) {
        val last = confirmedAt
        if (last == null || sentAt > last) confirmedAt = sentAt
        renewalsSentAt.values.removeAll { it < sentAt }
    }

    // The part that covers outstanding loans is released only after they have expired.
    private fun releaseShare(current: ShareRecord, minimumWeight: Double): ShareRecord? {
        val own = current.findHolder(incarnation) ?: return null
        val requiredWeight = min(own.weightMillionths, ceil(minimumWeight * WHOLE_SHARE_MILLIONTHS).toInt())
        return when {
            startedAt.elapsedNow() < LENDER_LOAN_VALIDITY ||
                requiredWeight == own.weightMillionths && requiredWeight > 0 -> null
            requiredWeight > 0 -> current.withHolder(own.copy(weightMillionths = requiredWeight))
            else -> current.withoutIncarnations(setOf(incarnation))
        }
    }

    private fun renewShare(current: ShareRecord, minimumWeight: () -> Double): ShareRecord? {
        val expired = observations
            .filterValues { it.observedAt.elapsedNow() > lease.validity + lease.takeoverMargin }
            .keys - incarnation
        val liveRecord = current.withoutIncarnations(expired)
        val predecessor = liveRecord.holders.find { it.instance == instance }
        val heldWeight = predecessor?.weightMillionths ?: 0
        val holderCount = liveRecord.holders.size + if (predecessor == null) 1 else 0
        val fairWeight = WHOLE_SHARE_MILLIONTHS / holderCount
        // The weight is lowered before the loans are read, so that no loan is granted from the part to be released.
        val isLowered = fairWeight < heldWeight && startedAt.elapsedNow() >= LENDER_LOAN_VALIDITY
        if (isLowered) weightCeiling = min(weightCeiling, fairWeight)
        val nextWeight = targetWeight(fairWeight, heldWeight, liveRecord.freeMillionths, minimumWeight)
        val isRenewalDue = confirmedAt?.let { it.elapsedNow() >= lease.renewalInterval } ?: true
        val isUnchanged =
            expired.isEmpty() && predecessor == ShareHolder(instance, incarnation, nextWeight, renewalNumber)
        if (isUnchanged && !isRenewalDue) return null
        renewalNumber++
        return liveRecord.withHolder(ShareHolder(instance, incarnation, nextWeight, renewalNumber))
    }

    private fun targetWeight(
        fairWeight: Int,
        heldWeight: Int,
        availableWeight: Int,
        minimumWeight: () -> Double,
    ): Int = when {
        fairWeight > heldWeight -> heldWeight + min(fairWeight - heldWeight, max(0, availableWeight))
        // Loans granted by a predecessor are unknown to this process: its share is kept whole until they have expired.
        startedAt.elapsedNow() < LENDER_LOAN_VALIDITY -> heldWeight
        else -> max(fairWeight, min(heldWeight, ceil(minimumWeight() * WHOLE_SHARE_MILLIONTHS).toInt()))
    }

    @Synchronized
    private fun handleResult(change: Change, result: Either<TableError, TransactionResult>) {
        val answer = result.getOrNull()
        if (answer is TransactionResult.Committed) applyRecord(Record(change.nextRecord.encode(), answer.version))
        if (answer is TransactionResult.Conflict) applyRecord(answer.current[ShareRecord.SHARE_RECORD_KEY])
    }

    private class Change(
        val nextRecord: ShareRecord,
        version: Long?,
        val sentAt: ComparableTimeMark,
        val renewalNumber: Long,
    ) {
        val transaction = Transaction(
            listOf(
                version?.let { Condition.VersionIs(ShareRecord.SHARE_RECORD_KEY, it) }
                    ?: Condition.Absent(ShareRecord.SHARE_RECORD_KEY),
            ),
            listOf(Write.Put(ShareRecord.SHARE_RECORD_KEY, nextRecord.encode())),
        )
    }

    private data class Observation(val renewalNumber: Long, val observedAt: ComparableTimeMark)

    private companion object {
        /** Immediate retries after another process has changed the record first. */
        const val MAX_CONFLICT_RETRIES = 3

        val COMPLETED: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
    }
}
