package org.celerywalk.routing

import kotlin.time.ComparableTimeMark
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures the prefill throughput of an agent's engine while it has prompts to prefill. This class is thread-safe. */
public class PrefillSpeed(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    private var activePrompts = 0
    private var lastUpdate: ComparableTimeMark = timeSource.markNow()
    private var busySeconds = 0.0
    private var computedTokens = 0.0

    /** Prompt tokens per second over the last 10 to 20 s of busy time, or 0 while unknown. */
    @get:Synchronized
    public val tokensPerSecond: Long
        get() = if (busySeconds < MIN_BUSY_SECONDS) 0 else (computedTokens / busySeconds).toLong()

    /** Records that a prompt was passed to the engine. */
    @Synchronized
    public fun recordPrefillStart() {
        addBusyTime()
        activePrompts++
    }

    /** Records that the prefill of a prompt ended; the engine computed [tokens] for it, 0 if it failed. */
    @Synchronized
    public fun recordPrefillEnd(tokens: Long) {
        addBusyTime()
        activePrompts = (activePrompts - 1).coerceAtLeast(0)
        computedTokens += tokens
        if (busySeconds > MAX_BUSY_SECONDS) {
            busySeconds /= 2
            computedTokens /= 2
        }
    }

    private fun addBusyTime() {
        val now = timeSource.markNow()
        if (activePrompts > 0) busySeconds += (now - lastUpdate).toDouble(DurationUnit.SECONDS)
        lastUpdate = now
    }

    private companion object {
        const val MIN_BUSY_SECONDS = 0.5

        /** In a shorter window a changed mix of prompts looks like a change of speed, and prefixes move needlessly. */
        const val MAX_BUSY_SECONDS = 20.0
    }
}
