package org.celerywalk.instance

import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit

/**
 * Never runs slower than either the monotonic clock or the time of day.
 *
 * The monotonic clock stands still while an instance is suspended and the time of day may be set back, so a lease
 * measured by only one of them could look valid for too long. The time of day being set forward only ends leases early.
 *
 * @param monotonicNanos readings of the monotonic clock.
 * @param wallMillis readings of the time of day.
 */
public class SuspendAwareTimeSource(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
    private var lastMonotonic = monotonicNanos()
    private var lastWall = wallMillis()
    private var progress = 0L

    @Synchronized
    override fun read(): Long {
        val monotonic = monotonicNanos()
        val wall = wallMillis()
        val wallStep = (wall - lastWall) * NANOS_PER_MILLI
        val monotonicStep = monotonic - lastMonotonic
        // Rounding of the time of day must not add up over frequent readings.
        progress += if (wallStep > monotonicStep + SUSPENSION_NANOS) wallStep else monotonicStep
        lastMonotonic = monotonic
        lastWall = wall
        return progress
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        // Differences below this are adjustments of the clock, not suspensions.
        const val SUSPENSION_NANOS = 50 * NANOS_PER_MILLI
    }
}
