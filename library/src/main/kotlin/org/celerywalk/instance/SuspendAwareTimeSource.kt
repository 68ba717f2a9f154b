package org.celerywalk.instance

import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit

/**
 * Time source that follows the monotonic clock, and the wall clock across suspensions of the instance.
 *
 * The monotonic clock stops while an instance is suspended and the wall clock may be set back, so a lease measured by
 * only one of them could look valid for too long. A wall clock that is set forward only makes leases expire early.
 * Safe for use from several threads.
 *
 * @param monotonicNanos reads the monotonic clock, in nanoseconds.
 * @param wallMillis reads the wall clock, in milliseconds since the epoch.
 */
public class SuspendAwareTimeSource(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
    private var lastMonotonicNanos = monotonicNanos()
    private var lastWallMillis = wallMillis()
    private var elapsedNanos = 0L

    @Synchronized
    override fun read(): Long {
        val newMonotonicNanos = monotonicNanos()
        val newWallMillis = wallMillis()
        val wallStepNanos = (newWallMillis - lastWallMillis) * NANOS_PER_MILLI
        val monotonicStepNanos = newMonotonicNanos - lastMonotonicNanos
        // The wall clock counts only beyond a threshold, so that its rounding does not add up over frequent reads.
        elapsedNanos +=
            if (wallStepNanos > monotonicStepNanos + MIN_SUSPENSION_NANOS) wallStepNanos else monotonicStepNanos
        lastMonotonicNanos = newMonotonicNanos
        lastWallMillis = newWallMillis
        return elapsedNanos
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Smaller differences are clock adjustments, not suspensions.
        const val MIN_SUSPENSION_NANOS = 50 * NANOS_PER_MILLI
    }
}
