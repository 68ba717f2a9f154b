package org.celerywalk.rollout

import kotlin.time.Duration

/**
 * Identity of an operator's order: the era of the store and the version of the order's row in it.
 *
 * A later order has a greater identity, also after the store came back from an older copy.
 */
public data class OrderId(val era: Long, val rowVersion: Long) : Comparable<OrderId> {
    override fun compareTo(other: OrderId): Int = compareValuesBy(this, other, OrderId::era, OrderId::rowVersion)
}

/**
 * Order to move the traffic of [service] to the replicas of [version].
 *
 * @property duration time from the order to its deadline.
 */
public data class RolloutOrder(val service: String, val version: String, val duration: Duration, val id: OrderId) {
    /**
     * Returns true if [other] is the same order. Operators write an order again that the store has lost, which gives
     * it another identity in the new era.
     */
    public fun isSameAs(other: RolloutOrder): Boolean =
        id == other.id || id.era != other.id.era && copy(id = other.id) == other
}
