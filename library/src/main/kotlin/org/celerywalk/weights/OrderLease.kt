package org.celerywalk.weights

/**
 * Lease, stored in the platform's table, that allows one process to send weight orders to endpoints.
 *
 * @property holder name of the instance on which the holding process runs.
 * @property fencingToken grows with every change of the holder.
 * @property renewedAtMillis time at or before the last renewal, in milliseconds of the table's clock.
 */
public data class OrderLease(val holder: String, val fencingToken: Long, val renewedAtMillis: Long)

/** Step that a process takes to hold the lease before it sends an order. */
public sealed interface LeaseStep {
    /** Writes [lease] if the record is still the one that was read (compare-and-set). */
    public data class Write(val lease: OrderLease) : LeaseStep

    /** Sends no order, since a holder whose write the store has lost may still send some. */
    public data object AwaitLostHolder : LeaseStep

    /** Sends no order, because the instance [holder] holds the lease. */
    public data class HeldByOther(val holder: String) : LeaseStep
}

/**
 * Era of the table that a lease is read in; a table that comes back from an older copy has lost the newest leases.
 *
 * @property number rises with each return of the table.
 * @property servingForMillis time since the table first carried out a call of this process in the era.
 */
public data class LeaseEra(val number: Long, val servingForMillis: Long)

/**
 * Decides whether the process on instance [ownInstance] acquires, renews or takes over the lease.
 *
 * A lease that was not renewed for [takeOverAfterMillis] of the table's clock may be taken over. A holder sends an
 * order only within a short validity after a renewal, so the orders of two holders are further apart than
 * [takeOverAfterMillis] minus that validity. Used by one thread.
 *
 * A lease of an earlier era, or none, may have been followed by others that the table has lost. Its successor waits for
 * [takeOverAfterMillis] in the new era, and takes a fencing token that is higher than all of earlier eras.
 */
public class LeasePolicy(
    private val ownInstance: String,
    private val takeOverAfterMillis: Long,
) {
    private var ownFencingToken: Long? = null
    private var highestFencingToken = 0L

    /**
     * Returns the next step.
     *
     * @param current lease that was read from the table, null if there is no record.
     * @param nowMillis time of the table's clock at the read, in milliseconds.
     * @param era era of the read.
     */
    public fun nextStep(current: OrderLease?, nowMillis: Long, era: LeaseEra): LeaseStep {
        highestFencingToken = maxOf(highestFencingToken, current?.fencingToken ?: 0)
        return when {
            current != null && eraOf(current) >= era.number -> nextStep(current, nowMillis)
            era.servingForMillis >= takeOverAfterMillis -> {
                val lowestFencingToken = era.number * FENCING_TOKENS_PER_ERA + 1
                val fencingToken = maxOf(highestFencingToken + 1, lowestFencingToken)
                LeaseStep.Write(OrderLease(ownInstance, fencingToken, nowMillis))
            }
            else -> LeaseStep.AwaitLostHolder
        }
    }

    private fun nextStep(current: OrderLease, nowMillis: Long): LeaseStep = when {
        current.holder == ownInstance && current.fencingToken == ownFencingToken ->
            LeaseStep.Write(current.copy(renewedAtMillis = nowMillis))
        current.holder == ownInstance || nowMillis - current.renewedAtMillis >= takeOverAfterMillis ->
            LeaseStep.Write(OrderLease(ownInstance, current.fencingToken + 1, nowMillis))
        else -> LeaseStep.HeldByOther(current.holder)
    }

    /** Records that the table confirmed this process's write of [lease]. */
    public fun recordWrite(lease: OrderLease) {
        ownFencingToken = lease.fencingToken
        highestFencingToken = maxOf(highestFencingToken, lease.fencingToken)
    }

    private fun eraOf(lease: OrderLease) = lease.fencingToken / FENCING_TOKENS_PER_ERA

    private companion object {
        // The lease changes its holder a few times a day.
        const val FENCING_TOKENS_PER_ERA = 1_000_000L
    }
}
