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

    /** Sends no order, because the instance [holder] holds the lease. */
    public data class HeldByOther(val holder: String) : LeaseStep
}

/**
 * Decides whether the process on instance [ownInstance] acquires, renews or takes over the lease.
 *
 * A lease that was not renewed for [takeOverAfterMillis] of the table's clock may be taken over. A holder sends an
 * order only within a short validity after a renewal, so the orders of two holders are further apart than
 * [takeOverAfterMillis] minus that validity. Used by one thread.
 */
public class LeasePolicy(
    private val ownInstance: String,
    private val takeOverAfterMillis: Long,
) {
    private var ownFencingToken: Long? = null

    /**
     * Returns the next step.
     *
     * @param current lease that was read from the table, null if there is no record.
     * @param nowMillis time of the table's clock at the read, in milliseconds.
     */
    public fun nextStep(current: OrderLease?, nowMillis: Long): LeaseStep = when {
        current == null -> LeaseStep.Write(OrderLease(ownInstance, 1, nowMillis))
        current.holder == ownInstance && current.fencingToken == ownFencingToken ->
            LeaseStep.Write(current.copy(renewedAtMillis = nowMillis))
        current.holder == ownInstance || nowMillis - current.renewedAtMillis >= takeOverAfterMillis ->
            LeaseStep.Write(OrderLease(ownInstance, current.fencingToken + 1, nowMillis))
        else -> LeaseStep.HeldByOther(current.holder)
    }

    /** Records that the table confirmed this process's write of [lease]. */
    public fun recordWrite(lease: OrderLease) {
        ownFencingToken = lease.fencingToken
    }
}
