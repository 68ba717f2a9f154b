package org.celerywalk.cache

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Estimate of which prompt parts each holder (a model replica or a cache store) has in its prefix cache.
 *
 * Cache events arrive late. Parts that this process has just sent to a holder therefore count as cached for
 * [sentPartTtl], so that the next request with the same parts is placed there. The estimate is only for placement: a
 * holder that has evicted a part computes it again. Safe for use from several threads.
 */
public class PartLocations(private val timeSource: TimeSource.WithComparableMarks, private val sentPartTtl: Duration) {
    private data class Key(val scope: String, val part: String)

    private class Holder(private val sentPartTtl: Duration) {
        var epoch: Long? = null
        val parts = HashMap<Key, Int>()
        val sentAt = LinkedHashMap<Key, ComparableTimeMark>()

        /** Returns the cached tokens of each of [parts] up to the first one that is not cached to its end. */
        fun prefixTokensPerPart(
            keys: List<Key>,
            parts: List<PromptPart>,
            now: ComparableTimeMark,
            minSentAge: Duration,
        ): List<Int> {
            val prefix = ArrayList<Int>(parts.size)
            for ((key, part) in keys.zip(parts)) {
                val cachedTokens = cachedTokens(key, part.tokens, now, minSentAge)
                prefix += cachedTokens
                if (cachedTokens + BLOCK_TOKENS <= part.tokens) break
            }
            return prefix
        }

        private fun cachedTokens(key: Key, tokens: Int, now: ComparableTimeMark, minSentAge: Duration): Int {
            val age = sentAt[key]?.let { now - it }
            return when {
                age != null && age <= sentPartTtl && age >= minSentAge -> tokens
                else -> minOf(parts[key] ?: 0, tokens)
            }
        }
    }

    private val holders = HashMap<String, Holder>()

    /** Applies a cache event of [holder]: it now has [tokens] tokens of [part], or 0 if the part was evicted. */
    @Synchronized
    public fun applyCacheEvent(holder: String, scope: String, part: String, tokens: Int) {
        val state = holders.getOrPut(holder) { Holder(sentPartTtl) }
        val key = Key(scope, part)
        if (tokens > 0) {
            state.parts[key] = tokens
        } else {
            state.parts.remove(key)
            state.sentAt.remove(key)
        }
    }

    /** Records that [parts] were sent to [holder], which will have them in its cache soon. */
    @Synchronized
    public fun recordSent(holder: String, scope: CacheScope, parts: List<PromptPart>) {
        val state = holders.getOrPut(holder) { Holder(sentPartTtl) }
        val now = timeSource.markNow()
        parts.forEach { part ->
            val key = Key(scope.value, part.id)
            state.sentAt.remove(key)
            state.sentAt[key] = now
        }
        while (state.sentAt.isNotEmpty() && state.sentAt.values.first().elapsedNow() > sentPartTtl) {
            state.sentAt.remove(state.sentAt.keys.first())
        }
    }

    /** Clears the estimate for [holder], whose cache is empty or unknown. Its events now belong to [epoch]. */
    @Synchronized
    public fun reset(holder: String, epoch: Long) {
        holders[holder] = Holder(sentPartTtl).also { it.epoch = epoch }
    }

    /** Returns true if events of [holder] were read, so that a part without an event is known not to be cached. */
    @Synchronized
    public fun hasReadEvents(holder: String): Boolean = holders[holder]?.epoch != null

    /** Removes [holder]. */
    @Synchronized
    public fun remove(holder: String) {
        holders.remove(holder)
    }

    /**
     * Returns the number of tokens that [holder] has cached as an unbroken prefix of [parts].
     *
     * @param minSentAge time that must have passed since a part was sent to the holder for it to count as cached.
     */
    @Synchronized
    public fun prefixTokens(
        holder: String,
        scope: CacheScope,
        parts: List<PromptPart>,
        minSentAge: Duration = Duration.ZERO,
    ): Int {
        val state = holders[holder] ?: return 0
        return state.prefixTokensPerPart(keys(scope, parts), parts, timeSource.markNow(), minSentAge).sum()
    }

    /**
     * Returns for each of [holders] the prefix of [parts] that it has cached.
     *
     * @param minSentAge time that must have passed since a part was sent to the holder for it to be fetched from there.
     */
    @Synchronized
    public fun cachedPrefixes(
        holders: Collection<String>,
        scope: CacheScope,
        parts: List<PromptPart>,
        minSentAge: Duration,
    ): Map<String, CachedPrefix> {
        val keys = keys(scope, parts)
        val now = timeSource.markNow()
        val sharedCount = (parts.size - 1).coerceAtLeast(0)
        return holders.associateWith { holder ->
            val state = this.holders[holder] ?: Holder(sentPartTtl)
            val cachedTokens = state.prefixTokensPerPart(keys, parts, now, Duration.ZERO)
            val fetchableTokens = state.prefixTokensPerPart(keys, parts, now, minSentAge)
            CachedPrefix(cachedTokens.sum(), cachedTokens.take(sharedCount).sum(), fetchableTokens.sum())
        }
    }

    /** Returns the number of parts that [holder] has reported as cached. */
    @Synchronized
    public fun size(holder: String): Int = holders[holder]?.parts?.size ?: 0

    private fun keys(scope: CacheScope, parts: List<PromptPart>) = parts.map { Key(scope.value, it.id) }

    private companion object {
        // Endpoints cache whole KV cache blocks only, so the end of a part may be missing.
        const val BLOCK_TOKENS = 16
    }
}

/**
 * Tokens of a prompt that a holder has cached as an unbroken prefix.
 *
 * @property sharedTokens those of [tokens] that do not belong to the last part, which is private to its request.
 * @property fetchableTokens tokens of the prefix without parts whose prefill may not have ended yet.
 */
public data class CachedPrefix(val tokens: Int, val sharedTokens: Int, val fetchableTokens: Int)
