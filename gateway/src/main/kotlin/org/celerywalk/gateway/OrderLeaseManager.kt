package org.celerywalk.gateway

import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import org.celerywalk.platform.wire.WriteOutcome
import org.celerywalk.weights.LeasePolicy
import org.celerywalk.weights.LeaseStep
import org.celerywalk.weights.OrderLease
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Keeps the lease for giving orders in the platform's table. Used by one thread. */
internal class OrderLeaseKeeper(
    private val settings: GatewaySettings,
    private val table: PlatformTable,
    private val timeSource: TimeSource.WithComparableMarks,
    private val log: EventLog,
) {
    private class Held(
        val lease: OrderLease,
        val rowVersion: Long,
        val storeMillis: Long,
        val readAt: ComparableTimeMark,
    )

    private val takeOverAfter = settings.bounds.orderLease + TAKE_OVER_MARGIN
    private val policy = LeasePolicy(settings.instance, takeOverAfter.inWholeMilliseconds)

    @Volatile
    private var held: Held? = null
    private var renewedAt: ComparableTimeMark? = null
    private var askedAt: ComparableTimeMark? = null

    /** True while this process holds the lease as far as it knows. */
    val holds: Boolean get() = held != null

    /** Returns the fencing number if this process may give an order right now, or null. */
    fun confirmed(): Long? {
        val last = renewedAt
        if (held == null || last == null || last.elapsedNow() > VALID_FOR) renew()
        val renewed = renewedAt
        return held?.lease?.term?.takeIf { renewed != null && renewed.elapsedNow() <= VALID_FOR }
    }

    private fun renew() {
        val known = held ?: if (mayAsk()) return acquire() else return
        val now = known.storeMillis + known.readAt.elapsedNow().inWholeMilliseconds
        write(known.lease.copy(renewedAtMillis = now), known.rowVersion, known.storeMillis, known.readAt)
    }

    private fun acquire() {
        val readAt = timeSource.markNow()
        table.read(LEASE_TABLE, CALL_TIMEOUT).onRight { reading ->
            val row = reading.rows.find { it.key == LEASE_KEY }
            when (val step = policy.next(row?.let { decode(it.value) }, reading.storeMillis)) {
                is LeaseStep.Write -> write(step.lease, row?.version ?: 0, reading.storeMillis, readAt)
                is LeaseStep.HeldBy -> log.write("lease_held", "holder" to step.holder)
            }
        }
    }

    private fun write(lease: OrderLease, expected: Long, storeMillis: Long, readAt: ComparableTimeMark) {
        val sentAt = timeSource.markNow()
        held = null
        renewedAt = null
        val row = RowWrite(LEASE_TABLE, LEASE_KEY, encode(lease), expected)
        table.write(row, CALL_TIMEOUT).fold(
            { log.write("lease_unconfirmed", "term" to lease.term, "step" to it.step, "cause" to it.message) },
            { outcome ->
                if (outcome is WriteOutcome.Written) {
                    if (renewedTerm != lease.term) log.write("lease_won", "term" to lease.term)
                    renewedTerm = lease.term
                    policy.written(lease)
                    held = Held(lease, outcome.version, storeMillis, readAt)
                    renewedAt = sentAt
                } else {
                    log.write("lease_lost", "term" to lease.term)
                }
            },
        )
    }

    private var renewedTerm = 0L

    private fun mayAsk(): Boolean {
        val last = askedAt
        val may = last == null || last.elapsedNow() >= ASK_PAUSE
        if (may) askedAt = timeSource.markNow()
        return may
    }

    private fun encode(lease: OrderLease): ByteArray =
        "${lease.holder} ${lease.term} ${lease.renewedAtMillis}".toByteArray()

    // A row that cannot be read counts as a lease of nobody, whose term is unknown; the write condition still holds.
    private fun decode(value: ByteArray): OrderLease? {
        val fields = value.decodeToString().split(' ')
        val numbers = fields.drop(1).mapNotNull { it.toLongOrNull() }
        return if (numbers.size == NUMBERS) OrderLease(fields[0], numbers[0], numbers[1]) else null
    }

    private companion object {
        const val LEASE_TABLE = "leases"
        const val LEASE_KEY = "weight-orders"
        const val NUMBERS = 2
        val CALL_TIMEOUT = 500.milliseconds
        val ASK_PAUSE = 500.milliseconds

        // An order goes out at most this long after the renewal was sent.
        val VALID_FOR: Duration = 700.milliseconds

        // Covers an order sent at the end of the validity, and the inexact time in the record.
        val TAKE_OVER_MARGIN: Duration = 2000.milliseconds
    }
}
