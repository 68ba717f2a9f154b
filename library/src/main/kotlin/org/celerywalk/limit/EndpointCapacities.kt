package org.celerywalk.limit

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Measured capacities of the endpoints of plain services, and the comparison of their speeds. Thread-safe. */
public class EndpointCapacities(private val timeSource: TimeSource.WithComparableMarks) {
    private class Reference(val duration: Duration?, val calculatedAt: ComparableTimeMark)

    private val capacities = ConcurrentHashMap<String, EndpointCapacity>()
    private val references = ConcurrentHashMap<String, Reference>()

    /** Returns the capacity of the endpoint [id], which begins with [slots] if it does not exist. */
    public fun getOrCreate(id: String, slots: Int): EndpointCapacity =
        capacities[id] ?: capacities.computeIfAbsent(id) { EndpointCapacity(timeSource, slots.coerceAtLeast(1)) }

    /** Removes the capacity of the endpoint [id]. */
    public fun remove(id: String) {
        capacities.remove(id)
    }

    /** Returns a live view of the capacities by endpoint ID. */
    public fun asMap(): Map<String, EndpointCapacity> = capacities

    /**
     * Returns how many times longer a call takes at an endpoint with [capacity] than at the faster endpoints of
     * [service], 1 unless the difference is large. [peers] returns the capacities of all of them.
     *
     * @param ownCalls calls of this process at the endpoint; without any, an old measurement does not count.
     */
    public fun slowness(
        capacity: EndpointCapacity,
        service: String,
        ownCalls: Int,
        peers: () -> List<EndpointCapacity>,
    ): Double {
        val mean = capacity.meanDuration
        val reference = referenceOf(service, peers)
        val age = capacity.measurementAge
        // A slow endpoint gets a single call from time to time, which shows whether it has recovered.
        val isProbeDue = ownCalls == 0 && age != null && age > PROBE_INTERVAL
        val ratio = if (mean == null || reference == null || isProbeDue) 1.0 else mean / reference
        return if (ratio >= OUTLIER_RATIO) ratio else 1.0
    }

    private fun referenceOf(service: String, peers: () -> List<EndpointCapacity>): Duration? {
        val known = references[service]
        if (known != null && known.calculatedAt.elapsedNow() < REFERENCE_VALIDITY) return known.duration
        val means = peers().mapNotNull { it.meanDuration }.sorted()
        val duration = means.getOrNull((means.size - 1) / REFERENCE_QUANTILE_DIVISOR)
        references[service] = Reference(duration, timeSource.markNow())
        return duration
    }

    private companion object {
        // Means of equally fast endpoints differ by about 20 % at service times between 20 and 90 ms.
        const val OUTLIER_RATIO = 2.0

        // The lower quartile, so that two slow replicas of three are compared with the sound one.
        const val REFERENCE_QUANTILE_DIVISOR = 4
        val REFERENCE_VALIDITY = 100.milliseconds
        val PROBE_INTERVAL = 2.seconds
    }
}
