package org.celerywalk.routing

/**
 * Outstanding work at an endpoint by the rank of its calls.
 *
 * @property byRank work of the calls of each rank that has any; see [Rank].
 */
public data class RankedWork(val byRank: Map<Int, EndpointWork> = emptyMap()) {
    /** Work of all ranks together. */
    public val total: EndpointWork get() = byRank.values.fold(EndpointWork(), EndpointWork::plus)

    public companion object {
        /** Returns [work] of calls of one [rank]; none if [work] is empty. */
        public fun of(work: EndpointWork, rank: Int = Rank.MOST_URGENT): RankedWork =
            RankedWork(if (work == EndpointWork()) emptyMap() else mapOf(rank to work))
    }
}

/** Ranks of generations: 0 is the most urgent. Within a rank, generations that are in time precede deferred ones. */
public object Rank {
    public const val MOST_URGENT: Int = 0
    public const val LEAST_URGENT: Int = 4

    /** Number of ranks; replicas have twice as many priorities. */
    public const val COUNT: Int = LEAST_URGENT + 1

    /** Returns the rank of a request with the [priority] of its route or client account. */
    public fun ofPriority(priority: Int): Int = priority.coerceIn(MOST_URGENT, LEAST_URGENT)

    /**
     * Returns the priority at the replica, 0 to 9 with 0 first: all generations that are in time precede all deferred
     * ones, which have lost most of their value to their callers already.
     */
    public fun replicaPriority(rank: Int, isDeferred: Boolean): Int = if (isDeferred) COUNT + rank else rank
}
