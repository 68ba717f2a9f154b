package org.celerywalk.acceptance

import java.util.concurrent.locks.LockSupport
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Polls [condition] until it holds, or fails the test after [timeout] with the text that [diagnostics] returns.
 *
 * The default timeout allows for a busy machine.
 */
internal fun waitUntil(
    description: String,
    timeout: Duration = 40.seconds,
    diagnostics: () -> String = { "" },
    condition: () -> Boolean,
) {
    val deadline = TimeSource.Monotonic.markNow() + timeout
    while (!condition()) {
        if (deadline.hasPassedNow()) fail("not reached within $timeout: $description ${diagnostics()}")
        LockSupport.parkNanos(POLL_INTERVAL_NANOS)
    }
}

private const val POLL_INTERVAL_NANOS = 10_000_000L
