package org.celerywalk.cache

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Knows which holder (a model replica or a store) keeps which prompt parts.
 *
 * Cache events tell it late; parts that this process has just sent to a holder count as kept for [assumedFor], so that
 * the next request with the same parts follows them. An estimate for placement only: a holder that lost a part reads it
 * again. Safe for use from several threads.
 */
public class PartLocations(private val timeSource: TimeSource.WithComparableMarks, private val assumedFor: Duration) {
    private data class Key(val scope: String, val part: String)

    private class Holder {
        var epoch: Long? = null
        val parts = HashMap<Key, Int>()
        val assumed = LinkedHashMap<Key, ComparableTimeMark>()
    }

    private val holders = HashMap<String, Holder>()

    /** Applies a cache event of [holder]: [tokens] of [part] are kept now, 0 if it is gone. */
    @Synchronized
    public fun changed(holder: String, scope: String, part: String, tokens: Int) {
        val known = holders.getOrPut(holder, ::Holder)
        val key = Key(scope, part)
        if (tokens > 0) {
            known.parts[key] = tokens
        } else {
            known.parts.remove(key)
            known.assumed.remove(key)
        }
    }

    /** Records that [parts] were sent to [holder], which will keep them shortly. */
    @Synchronized
    public fun sent(holder: String, scope: CacheScope, parts: List<PromptPart>) {
        val known = holders.getOrPut(holder, ::Holder)
        val now = timeSource.markNow()
        parts.forEach { part ->
            val key = Key(scope.text, part.id)
            known.assumed.remove(key)
            known.assumed[key] = now
        }
        while (known.assumed.isNotEmpty() && known.assumed.values.first().elapsedNow() > assumedFor) {
            known.assumed.remove(known.assumed.keys.first())
        }
    }

    /** Forgets everything about [holder], whose cache is empty or no longer known. */
    @Synchronized
    public fun reset(holder: String, epoch: Long) {
        holders[holder] = Holder().also { it.epoch = epoch }
    }

    /** True once events of [holder] were read, so that parts that are not known are not kept. */
    @Synchronized
    public fun follows(holder: String): Boolean = holders[holder]?.epoch != null

    /** Drops [holder] for good. */
    @Synchronized
    public fun forget(holder: String) {
        holders.remove(holder)
    }

    /**
     * Tokens of [parts] that [holder] keeps in one stretch from the first part on.
     *
     * @param sentBefore age from which on parts that were sent to the holder count as kept.
     */
    @Synchronized
    public fun prefixTokens(
        holder: String,
        scope: CacheScope,
        parts: List<PromptPart>,
        sentBefore: Duration = Duration.ZERO,
    ): Int {
        val known = holders[holder] ?: return 0
        var total = 0
        for (part in parts) {
            val kept = known.kept(Key(scope.text, part.id), part.tokens, sentBefore)
            total += kept
            if (kept + BLOCK_TOKENS <= part.tokens) break
        }
        return total
    }

    /** Number of parts known of [holder]. */
    @Synchronized
    public fun size(holder: String): Int = holders[holder]?.parts?.size ?: 0

    private fun Holder.kept(key: Key, tokens: Int, sentBefore: Duration): Int {
        val age = assumed[key]?.elapsedNow()
        return when {
            age != null && age <= assumedFor && age >= sentBefore -> tokens
            else -> minOf(parts[key] ?: 0, tokens)
        }
    }

    private companion object {
        // Endpoints keep whole blocks of tokens only, so the end of a part may be missing.
        const val BLOCK_TOKENS = 16
    }
}
