package org.celerywalk.routing

import java.util.TreeMap

/**
 * Holds the queued requests of one client account.
 *
 * @property virtualStartTime virtual start time (start tag) of the account's next request.
 */
internal class AccountQueue<T>(var virtualStartTime: Double) {
    private val queue = TreeMap<SortKey, QueuedWork<T>>()
    private val sortKeys = HashMap<String, SortKey>()
    private var offeredTokens = 0L
    private var sequence = 0L

    var queuedTokens = 0L
        private set

    val size: Int get() = queue.size

    /** Adds [work]; it overtakes earlier work of up to [overtakableTokens] tokens. */
    fun add(work: QueuedWork<T>, overtakableTokens: Long) {
        val sortKey = SortKey(offeredTokens - overtakableTokens, sequence++)
        queue[sortKey] = work
        sortKeys[work.id] = sortKey
        offeredTokens += work.tokens
        queuedTokens += work.tokens
    }

    fun first(): QueuedWork<T> = queue.firstEntry().value

    fun removeFirst(): QueuedWork<T> = first().also { remove(it.id) }

    fun remove(id: String): QueuedWork<T>? {
        val work = sortKeys.remove(id)?.let { queue.remove(it) }
        queuedTokens -= work?.tokens ?: 0
        return work
    }

    private data class SortKey(val tokenPosition: Long, val sequence: Long) : Comparable<SortKey> {
        override fun compareTo(other: SortKey): Int =
            compareValuesBy(this, other, { it.tokenPosition }, { it.sequence })
    }
}
