package org.celerywalk

import org.celerywalk.http.HttpLimits
import java.util.concurrent.locks.LockSupport
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

internal val limits = HttpLimits(1.seconds, 5.seconds, maxConcurrentCalls = 4, maxQueuedCalls = 8)
internal val shortTimeoutLimits = limits.copy(callTimeout = 200.milliseconds)

/** Polls [condition] until it holds, and fails the test after [timeout]. */
internal fun waitUntil(description: String, timeout: Duration = 20.seconds, condition: () -> Boolean) {
    val deadline = TimeSource.Monotonic.markNow() + timeout
    while (!condition()) {
        if (deadline.hasPassedNow()) fail("not reached within $timeout: $description")
        LockSupport.parkNanos(POLL_INTERVAL_NANOS)
    }
}

private const val POLL_INTERVAL_NANOS = 2_000_000L
