package org.celerywalk.weights

/**
 * Records in the platform's table which process may give orders to endpoints.
 *
 * @property holder name of the process's instance.
 * @property term fencing number; grows with every change of the holder.
 * @property renewedAtMillis time of the table's clock at or before the last renewal.
 */
public data class OrderLease(val holder: String, val term: Long, val renewedAtMillis: Long)

/** Says what a process does about the lease before it gives an order. */
public sealed interface LeaseStep {
    /** Write [lease], on condition that the record is still the one that was read. */
    public data class Write(val lease: OrderLease) : LeaseStep

    /** Another process holds the lease. */
    public data class HeldBy(val holder: String) : LeaseStep
}

/**
 * Decides about the lease of process [self].
 *
 * A lease that was not renewed for [takeOverAfterMillis] of the table's clock may be taken over. The holder gives an
 * order only shortly after a renewal, so the orders of two holders lie further apart than that time less the validity.
 *
 */
public class LeasePolicy(
    private val self: String,
    private val takeOverAfterMillis: Long,
) {
    private var ownTerm: Long? = null

    /** Decides by the record [read] from the table at [nowMillis] of the table's clock. */
    public fun next(read: OrderLease?, nowMillis: Long): LeaseStep = when {
        read == null -> LeaseStep.Write(OrderLease(self, 1, nowMillis))
        read.holder == self && read.term == ownTerm -> LeaseStep.Write(read.copy(renewedAtMillis = nowMillis))
        read.holder == self || nowMillis - read.renewedAtMillis >= takeOverAfterMillis ->
            LeaseStep.Write(OrderLease(self, read.term + 1, nowMillis))
        else -> LeaseStep.HeldBy(read.holder)
    }

    /** Records that [lease] was written by this process. */
    public fun written(lease: OrderLease) {
        ownTerm = lease.term
    }
}
