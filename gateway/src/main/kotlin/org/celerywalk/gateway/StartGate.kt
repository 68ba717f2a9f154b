package org.celerywalk.gateway

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Holds requests that arrive while a process starts and reads the configuration and the endpoints for the first time.
 *
 * The store is usually read within a few hundred milliseconds, while a caller that is refused comes back later or not at
 * all.
 *
 * @param atMost time after the creation of this gate from which on requests are no longer held.
 */
internal class StartGate(timeSource: TimeSource, private val atMost: Duration) {
    private val createdAt = timeSource.markNow()
    private val opened = CountDownLatch(1)

    /** Lets all requests pass from now on. */
    fun open() {
        opened.countDown()
    }

    /** Waits until the gate opens, but no longer than [patience]. */
    fun pass(patience: Duration) {
        if (opened.count == 0L) return
        val wait = minOf(patience, atMost - createdAt.elapsedNow())
        if (wait > Duration.ZERO) opened.await(wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
