package org.celerywalk.gateway.weights

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.GatewaySettings
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import org.celerywalk.platform.wire.WriteOutcome
import org.celerywalk.weights.LeaseEra
import org.celerywalk.weights.LeasePolicy
import org.celerywalk.weights.LeaseStep
import org.celerywalk.weights.OrderLease
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Acquires and renews the lease for orders in the platform's table. Safe for use from several threads. */
internal class OrderLeaseManager(
    private val settings: GatewaySettings,
    private val table: PlatformTable,
    private val timeSource: TimeSource.WithComparableMarks,
    private val log: EventLog,
) {
    private class HeldLease(
        val lease: OrderLease,
        val rowVersion: Long,
        val storeClockMillis: Long,
        val readAt: ComparableTimeMark,
    )

    /** What this process knows of the lease's row in one era of the store. */
    private class LeaseState {
        @Volatile
        var held: HeldLease? = null
        var renewedAt: ComparableTimeMark? = null
    }

    private val takeoverDelay = settings.bounds.orderLease + TAKEOVER_MARGIN

    // Time after a renewal in which no other process can have written the row, also if the store came back meanwhile:
    // another one takes the lease over after the takeover delay at the earliest.
    private val maxRenewalGap = takeoverDelay / 2
    private val policy = LeasePolicy(settings.instance, takeoverDelay.inWholeMilliseconds)

    private val state by table.era.scoped { LeaseState() }
    private var lastAttemptAt: ComparableTimeMark? = null
    private var attemptDelay = ATTEMPT_INTERVAL

    /** True if this process's last write of the lease succeeded; another process may have taken it over since. */
    val isHeld: Boolean get() = state.held != null

    /** Renews the lease if necessary and returns its fencing token, or null if this process may not send orders now. */
    @Synchronized
    fun confirmedFencingToken(): Long? {
        val lastRenewedAt = state.renewedAt
        if (state.held == null || lastRenewedAt == null || lastRenewedAt.elapsedNow() > VALIDITY) renew()
        val current = state
        val renewedAt = current.renewedAt
        return current.held?.lease?.fencingToken
            ?.takeIf { renewedAt != null && renewedAt.elapsedNow() <= VALIDITY }
    }

    // Later than [maxRenewalGap], the row is read first: another process's row may have got the version of the own one.
    private fun renew() {
        val current = state
        val held = current.held.takeIf { current.renewedAt?.let { it.elapsedNow() < maxRenewalGap } == true }
            ?: if (mayAttempt()) return acquire(current) else return
        val nowMillis = held.storeClockMillis + held.readAt.elapsedNow().inWholeMilliseconds
        val renewed = held.lease.copy(renewedAtMillis = nowMillis)
        write(current, renewed, held.rowVersion, held.storeClockMillis, held.readAt)
    }

    private fun acquire(state: LeaseState) {
        state.held = null
        attemptDelay = ATTEMPT_INTERVAL
        val readAt = timeSource.markNow()
        table.read(LEASE_TABLE, CALL_TIMEOUT).onRight { reading ->
            val row = reading.rows.find { it.key == LEASE_KEY }
            val era = LeaseEra(table.era.number, table.era.servingFor.inWholeMilliseconds)
            when (val step = policy.nextStep(row?.let { decode(it.value) }, reading.storeClockMillis, era)) {
                is LeaseStep.Write -> write(state, step.lease, row?.version ?: 0, reading.storeClockMillis, readAt)
                LeaseStep.AwaitLostHolder -> {
                    attemptDelay = maxOf(ATTEMPT_INTERVAL, takeoverDelay - table.era.servingFor)
                    log.write("lease_unknown", "era" to table.era.number)
                }
                is LeaseStep.HeldByOther -> log.write("lease_held", "holder" to step.holder)
            }
        }
    }

    // The [state] is that of the era in which the step was decided, since the lease is not held in a later one.
    private fun write(
        state: LeaseState,
        lease: OrderLease,
        expectedVersion: Long,
        storeClockMillis: Long,
        readAt: ComparableTimeMark,
    ) {
        val sentAt = timeSource.markNow()
        state.held = null
        state.renewedAt = null
        val row = RowWrite(LEASE_TABLE, LEASE_KEY, encode(lease), expectedVersion)
        table.write(row, CALL_TIMEOUT).fold(
            { log.write("lease_unconfirmed", "term" to lease.fencingToken, "step" to it.step, "cause" to it.message) },
            { outcome ->
                if (outcome is WriteOutcome.Written) {
                    if (lastHeldFencingToken != lease.fencingToken) log.write("lease_won", "term" to lease.fencingToken)
                    lastHeldFencingToken = lease.fencingToken
                    policy.recordWrite(lease)
                    state.renewedAt = sentAt
                    state.held = HeldLease(lease, outcome.version, storeClockMillis, readAt)
                } else {
                    log.write("lease_lost", "term" to lease.fencingToken)
                }
            },
        )
    }

    private var lastHeldFencingToken = 0L

    private fun mayAttempt(): Boolean {
        val lastAttempt = lastAttemptAt
        val isDue = lastAttempt == null || lastAttempt.elapsedNow() >= attemptDelay
        if (isDue) lastAttemptAt = timeSource.markNow()
        return isDue
    }

    private fun encode(lease: OrderLease): ByteArray =
        "${lease.holder} ${lease.fencingToken} ${lease.renewedAtMillis}".toByteArray()

    // An unreadable row counts as no lease, although its fencing token is unknown. The write of a new lease is still
    // conditional on the version of the row.
    private fun decode(value: ByteArray): OrderLease? {
        val fields = value.decodeToString().split(' ')
        val numbers = fields.drop(1).mapNotNull { it.toLongOrNull() }
        return if (numbers.size == NUMERIC_FIELDS) OrderLease(fields[0], numbers[0], numbers[1]) else null
    }

    private companion object {
        const val LEASE_TABLE = "leases"
        const val LEASE_KEY = "weight-orders"
        const val NUMERIC_FIELDS = 2
        val CALL_TIMEOUT = 500.milliseconds
        val ATTEMPT_INTERVAL = 500.milliseconds

        // An order is sent at most this long after the renewal was sent.
        val VALIDITY: Duration = 700.milliseconds

        // Covers an order that is sent at the end of the validity, and the inexact renewal time in the lease row.
        val TAKEOVER_MARGIN: Duration = 2000.milliseconds
    }
}
