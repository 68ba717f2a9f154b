package org.celerywalk.cache

/**
 * Change of a prompt part in a KV cache.
 *
 * @property tokens number of the part's tokens that the cache holds after the change; 0 if the part was evicted.
 */
public data class CacheEvent(val scope: String, val part: String, val tokens: Int)

/**
 * Consecutive events of one cache.
 *
 * @property epoch number that changes when the replica or cache store restarts.
 * @property firstSequence sequence number from which on the events were read.
 * @property nextSequence sequence number to read from next.
 * @property hasGap true if the cache no longer had all events from [firstSequence] on.
 */
public data class CacheEvents(
    val epoch: Long,
    val firstSequence: Long,
    val nextSequence: Long,
    val events: List<CacheEvent>,
    val hasGap: Boolean = false,
) {
    /** Returns these events and [next] in one, or only [next] if it does not continue them. */
    public fun followedBy(next: CacheEvents): CacheEvents =
        if (next.epoch == epoch && next.firstSequence == nextSequence && !next.hasGap) {
            copy(nextSequence = next.nextSequence, events = events + next.events)
        } else {
            next
        }
}
