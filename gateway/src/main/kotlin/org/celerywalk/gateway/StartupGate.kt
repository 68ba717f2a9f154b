package org.celerywalk.gateway

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Delays requests that arrive before the process has read the configuration and the endpoints for the first time.
 *
 * The first read of the store usually takes a few hundred milliseconds, while a refused caller retries later or never.
 *
 * @param maxHold time after the creation of this gate from which on requests are no longer delayed.
 */
internal class StartupGate(timeSource: TimeSource, private val maxHold: Duration) {
    private val createdAt = timeSource.markNow()
    private val isConfigurationLoaded = AtomicBoolean()
    private val areEndpointsLoaded = AtomicBoolean()
    private val pendingLoads = CountDownLatch(2)

    /** Records that a configuration is active. */
    fun markConfigurationLoaded() {
        if (isConfigurationLoaded.compareAndSet(false, true)) pendingLoads.countDown()
    }

    /** Records that the list of endpoints was read. */
    fun markEndpointsLoaded() {
        if (areEndpointsLoaded.compareAndSet(false, true)) pendingLoads.countDown()
    }

    /** Waits until the configuration and the endpoints are loaded, for [maxWait] at most. */
    fun awaitReady(maxWait: Duration) {
        if (pendingLoads.count == 0L) return
        val wait = minOf(maxWait, maxHold - createdAt.elapsedNow())
        if (wait > Duration.ZERO) pendingLoads.await(wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
