package org.celerywalk.booking

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Token bucket that limits the table writes for this agent's bookings.
 *
 * All agents together get [fleetWritesPerSecond]. Each agent takes an equal share, which needs no coordination.
 * Safe for use from several threads.
 */
public class WriteBudget(timeSource: TimeSource, private val fleetWritesPerSecond: Double = FLEET_WRITES_PER_SECOND) {
    private val start = timeSource.markNow()
    private var refilledAt = Duration.ZERO
    private var agentCount = 1
    private var availableWrites = BURST_WRITES

    /** Sets the number of agents with plain services, which share the writes; it comes from the configuration. */
    @Synchronized
    public fun setAgentCount(agentCount: Int) {
        refill()
        this.agentCount = maxOf(1, agentCount)
    }

    /** Takes the writes of one booking and returns null, or returns the time until they are available. */
    @Synchronized
    public fun tryAcquireBooking(): Duration? {
        refill()
        val missingWrites = WRITES_PER_BOOKING - availableWrites
        if (missingWrites > 0) return (missingWrites / writesPerSecond()).seconds
        availableWrites -= WRITES_PER_BOOKING
        return null
    }

    /** Takes one write even if none is available, for example for the retry of a write whose answer was lost. */
    @Synchronized
    public fun chargeExtraWrite() {
        refill()
        availableWrites -= 1
    }

    private fun writesPerSecond() = fleetWritesPerSecond / agentCount

    private fun refill() {
        val now = start.elapsedNow()
        availableWrites =
            minOf(BURST_WRITES, availableWrites + (now - refilledAt).toDouble(DurationUnit.SECONDS) * writesPerSecond())
        refilledAt = now
    }

    public companion object {
        /** Writes a second for the bookings of all agents; the table takes several hundred in total. */
        public const val FLEET_WRITES_PER_SECOND: Double = 200.0

        // One write for the claim and one for the outcome.
        private const val WRITES_PER_BOOKING = 2.0

        // Allows two bookings at once; with 360 agents a larger burst could exceed the table's limit.
        private const val BURST_WRITES = 4.0
    }
}
