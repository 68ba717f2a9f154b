package org.celerywalk.gateway

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Holds requests that arrive while a process reads the configuration and the endpoints for the first time.
 *
 * The store is usually read within a few hundred milliseconds; a caller that is refused comes back later or not at all.
 *
 * @param atMost time after the creation of this gate from which on requests are no longer held.
 */
internal class StartGate(timeSource: TimeSource, private val atMost: Duration) {
    private val createdAt = timeSource.markNow()
    private val configured = AtomicBoolean()
    private val endpointsKnown = AtomicBoolean()
    private val missing = CountDownLatch(2)

    /** Records that a configuration is in force. */
    fun configured() {
        if (configured.compareAndSet(false, true)) missing.countDown()
    }

    /** Records that the endpoints were read. */
    fun endpointsKnown() {
        if (endpointsKnown.compareAndSet(false, true)) missing.countDown()
    }

    /** Waits until both are known, but no longer than [patience]. */
    fun pass(patience: Duration) {
        if (missing.count == 0L) return
        val wait = minOf(patience, atMost - createdAt.elapsedNow())
        if (wait > Duration.ZERO) missing.await(wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
