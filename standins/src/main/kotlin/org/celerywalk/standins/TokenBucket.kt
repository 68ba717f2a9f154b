package org.celerywalk.standins

import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Token bucket that admits [callsPerSecond] calls per second; its burst size is one second's worth of calls. */
internal class TokenBucket(private val callsPerSecond: Int, clock: TimeSource = TimeSource.Monotonic) {
    private var tokens = callsPerSecond.toDouble()
    private val createdAt = clock.markNow()
    private var refilledAtSeconds = 0.0

    @Synchronized
    fun tryAcquire(): Boolean {
        val nowSeconds = createdAt.elapsedNow().toDouble(DurationUnit.SECONDS)
        tokens = minOf(callsPerSecond.toDouble(), tokens + (nowSeconds - refilledAtSeconds) * callsPerSecond)
        refilledAtSeconds = nowSeconds
        val isAdmitted = tokens >= 1
        if (isAdmitted) tokens -= 1
        return isAdmitted
    }
}
