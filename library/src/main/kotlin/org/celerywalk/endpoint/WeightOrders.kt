package org.celerywalk.endpoint

import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.Table
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Outcome of an attempt to send a weight order. */
public enum class OrderResult {
    /** The order was sent. */
    SENT,

    /** Two other replicas are loading, or the table's answer came too late; the caller should retry. */
    NO_SLOT,

    /** An earlier order for the replica may still arrive or be in progress. */
    UNDER_WAY,

    /** The table gave no answer; the caller should retry. */
    TABLE_UNAVAILABLE,

    /** Another agent has taken over the endpoint; this agent sends no more orders. */
    SUPERSEDED,
}

/**
 * Sends orders to load weights with the endpoint's current fencing token, and to at most two replicas at once.
 *
 * One transaction acquires a loading slot on the condition that the fencing record is unchanged. Reads of the table may
 * be stale, so they prove neither the slot nor the token. An order is sent within [MAX_SEND_DELAY] of the start of the
 * transaction, or not at all.
 *
 * @param newLeaseId returns a unique lease id.
 */
public class WeightOrders(
    private val endpoint: String,
    incarnation: String,
    private val table: Table,
    private val timeSource: TimeSource,
    private val newLeaseId: () -> String,
) {
    private val tokenIssuer = FencingTokenIssuer(endpoint, incarnation, table)
    private val slots = LoadingSlots(timeSource)
    private val leases = ConcurrentHashMap<String, Lease>()

    @Volatile
    private var fencingToken: FencingToken? = null

    @Volatile
    private var isSuperseded = false

    /** Acquires the endpoint's next fencing token; [order] retries this if the table does not confirm it. */
    public fun start(): CompletableFuture<Unit> = tokenIssuer.acquire().thenApply { fencingToken = it }

    /**
     * Calls [send] to order [replica] to load [weights] if the fencing token is current and a slot is free.
     *
     * Calls for the replicas of one agent must not overlap.
     */
    public fun order(
        replica: String,
        weights: String,
        send: (fencingNumber: Long) -> Unit,
    ): CompletableFuture<OrderResult> {
        val isOrderInFlight = leases[replica]?.let { it.acquiredAt.elapsedNow() < LoadingSlots.LEASE_DURATION } ?: false
        return when {
            isSuperseded -> completed(OrderResult.SUPERSEDED)
            isOrderInFlight -> completed(OrderResult.UNDER_WAY)
            else -> withFencingToken { token ->
                table.read(setOf(LoadingSlots.KEY)).thenCompose { read ->
                    read.fold(
                        { completed(OrderResult.TABLE_UNAVAILABLE) },
                        { acquireSlot(Lease(replica, weights, leaseName(replica)), token, it[LoadingSlots.KEY], send) },
                    )
                }
            }
        }
    }

    /**
     * Releases the slot of [replica] when its engine reports the ordered [weights]; does nothing if it holds no slot.
     *
     * If the engine reports other weights, the order may still be in progress, so the slot is kept until its lease
     * expires.
     */
    public fun releaseSlot(replica: String, weights: String): CompletableFuture<Unit> {
        val lease = leases[replica]?.takeIf { it.weights == weights } ?: return completed(Unit)
        leases.remove(replica)
        return release(lease)
    }

    private fun release(lease: Lease): CompletableFuture<Unit> =
        table.read(setOf(LoadingSlots.KEY)).thenCompose { read ->
            val record = read.getOrNull()?.get(LoadingSlots.KEY)
            // If this write fails, the slot becomes free when the lease expires.
            val remaining = LoadingSlots.parse(record) - lease.name
            table.transact(Transaction(listOf(LoadingSlots.condition(record)), listOf(LoadingSlots.write(remaining))))
        }.thenApply { }

    private fun leaseName(replica: String) = "$endpoint/$replica/${newLeaseId()}"

    private fun withFencingToken(
        body: (FencingToken) -> CompletableFuture<OrderResult>,
    ): CompletableFuture<OrderResult> = (fencingToken?.let(::completed) ?: tokenIssuer.acquire()).thenCompose { token ->
        fencingToken = token
        token?.let(body) ?: completed(OrderResult.TABLE_UNAVAILABLE)
    }

    private fun acquireSlot(
        lease: Lease,
        token: FencingToken,
        current: Record?,
        send: (Long) -> Unit,
    ): CompletableFuture<OrderResult> {
        val newLeases =
            slots.withLease(lease.name, LoadingSlots.parse(current)) ?: return completed(OrderResult.NO_SLOT)
        val conditions = listOf(Condition.VersionIs(tokenIssuer.key, token.version), LoadingSlots.condition(current))
        return table.transact(Transaction(conditions, listOf(LoadingSlots.write(newLeases)))).thenApply { result ->
            when (val answer = result.getOrNull()) {
                null -> OrderResult.TABLE_UNAVAILABLE
                is TransactionResult.Committed -> sendUnlessLate(lease) { send(token.number) }
                is TransactionResult.Conflict -> {
                    isSuperseded = answer.current[tokenIssuer.key]?.version != token.version
                    if (isSuperseded) OrderResult.SUPERSEDED else OrderResult.NO_SLOT
                }
            }
        }
    }

    private fun sendUnlessLate(lease: Lease, send: () -> Unit): OrderResult {
        // The process may have been paused since the request; another agent may hold the token and the slot by now.
        val isInTime = lease.acquiredAt.elapsedNow() < MAX_SEND_DELAY
        if (isInTime) {
            leases[lease.replica] = lease
            send()
        } else {
            release(lease)
        }
        return if (isInTime) OrderResult.SENT else OrderResult.NO_SLOT
    }

    private inner class Lease(val replica: String, val weights: String, val name: String) {
        val acquiredAt: TimeMark = timeSource.markNow()
    }

    public companion object {
        /** Longest time from the start of the transaction until the order is sent. */
        public val MAX_SEND_DELAY: Duration = 2.seconds
    }
}
