package org.celerywalk.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Measures how many tokens per second leave a queue while it is not empty. */
internal class DrainRate(initialTokensPerSecond: Double, private val timeSource: TimeSource) {
    var tokensPerSecond = initialTokensPerSecond
        private set
    private var drainedTokens = 0L
    private var windowStart = timeSource.markNow()

    /** Starts a new window, so that the time in which the queue was empty does not count. */
    fun restartWindow() {
        drainedTokens = 0
        windowStart = timeSource.markNow()
    }

    fun add(tokens: Long) {
        drainedTokens += tokens
        val elapsed = windowStart.elapsedNow()
        if (elapsed >= WINDOW) {
            tokensPerSecond = (tokensPerSecond + drainedTokens / elapsed.toDouble(DurationUnit.SECONDS)) / 2
            restartWindow()
        }
    }

    private companion object {
        val WINDOW = 1.seconds
    }
}
