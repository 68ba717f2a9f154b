package org.celerywalk.limit

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Measured capacity of one endpoint: its concurrency limit and the speed of its answers. Thread-safe. */
public class EndpointCapacity(private val timeSource: TimeSource.WithComparableMarks, private val slots: Int) {
    private val concurrency = AdaptiveConcurrencyLimit(timeSource, slots)
    private val createdAt = timeSource.markNow()
    private var samples = 0
    private var mean = Duration.ZERO
    private var measuredAt: ComparableTimeMark? = null
    private var fullUntil: ComparableTimeMark? = null

    /** Maximum number of calls in flight of all gateways together. */
    public val limit: Int get() = concurrency.limit

    /** Mean duration of the last calls, or null if too few were answered. */
    public val meanDuration: Duration?
        @Synchronized get() = mean.takeIf { samples >= MIN_SAMPLES }

    /** Time since the last measured call, or null if there was none. */
    public val measurementAge: Duration?
        @Synchronized get() = measuredAt?.elapsedNow()

    /**
     * Returns true if a gateway with [ownCalls] of the [allCalls] at the endpoint may send another one.
     *
     * A gateway may always use its own share of the limit, since its knowledge of the other gateways' calls is late. It
     * uses no more until it has had the time to hear of them.
     *
     * @param scale factor on the limit, 1 for an endpoint that is as fast as its peers.
     */
    public fun hasRoom(ownCalls: Int, allCalls: Int, gatewayCount: Int, scale: Double = 1.0): Boolean {
        val total = (limit * scale).toInt().coerceAtLeast(1)
        val share = (total / gatewayCount.coerceAtLeast(1)).coerceAtLeast(1)
        val knowsPeers = gatewayCount <= 1 || createdAt.elapsedNow() >= PEER_REPORT_TIME
        // A slow endpoint has no shares, since a single call of each gateway may be too much for it.
        val isWithinShare = ownCalls < share && scale == 1.0
        return !isFull && (isWithinShare || knowsPeers && allCalls < total)
    }

    private val isFull: Boolean
        @Synchronized get() = fullUntil?.hasNotPassedNow() ?: false

    /** Records an answered call that was sent with [inFlight] calls at the endpoint, itself included. */
    public fun recordAnswer(duration: Duration, inFlight: Int) {
        concurrency.recordSample(duration, inFlight, wasRejected = false)
        recordDuration(duration)
    }

    /** Records that the endpoint refused a call because it was full. It has no room until a call there should end. */
    public fun recordRejection(inFlight: Int) {
        concurrency.recordSample(Duration.ZERO, inFlight, wasRejected = true)
        synchronized(this) { fullUntil = timeSource.markNow() + (meanDuration ?: TYPICAL_DURATION) / slots }
    }

    /** Records that a call was not answered within [duration], which counts if it is longer than the mean. */
    @Synchronized
    public fun recordUnanswered(duration: Duration) {
        if (duration > mean) recordDuration(duration)
    }

    @Synchronized
    private fun recordDuration(duration: Duration) {
        samples++
        measuredAt = timeSource.markNow()
        mean += (duration - mean) * maxOf(SMOOTHING_FACTOR, 1.0 / samples)
    }

    private companion object {
        const val MIN_SAMPLES = 5
        const val SMOOTHING_FACTOR = 0.15
        val TYPICAL_DURATION = 50.milliseconds

        // Two intervals of complete peer messages (0.7 s) and the way of a message.
        val PEER_REPORT_TIME = 1500.milliseconds
    }
}
