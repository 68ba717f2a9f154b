package org.celerywalk

import org.celerywalk.http.HttpLimits
import java.util.concurrent.locks.LockSupport
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

internal val limits = HttpLimits(1.seconds, 5.seconds, maxConcurrentCalls = 4, maxQueuedCalls = 8)
internal val impatient = limits.copy(callTimeout = 200.milliseconds)

/** Returns as soon as [condition] holds. */
internal fun waitUntil(what: String, bound: Duration = 20.seconds, condition: () -> Boolean) {
    val deadline = TimeSource.Monotonic.markNow() + bound
    while (!condition()) {
        if (deadline.hasPassedNow()) fail("did not happen within $bound: $what")
        LockSupport.parkNanos(POLL_NANOS)
    }
}

private const val POLL_NANOS = 2_000_000L
