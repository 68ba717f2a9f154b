package org.celerywalk.routing

import org.celerywalk.endpoint.EndpointHealth
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Keeps the load of each endpoint by endpoint id. This class is thread-safe. */
public class FleetLoads(private val timeSource: TimeSource.WithComparableMarks) {
    private val loads = ConcurrentHashMap<String, EndpointLoad>()

    /** Returns the load of the endpoint [id], which is created if it does not exist. */
    public fun getOrCreate(id: String): EndpointLoad = loads.computeIfAbsent(id) {
        EndpointLoad(timeSource, REPORT_TIME_TO_LIVE, EndpointHealth(timeSource, EJECTION_TIME))
    }

    /** Removes the load of the endpoint [id]. */
    public fun remove(id: String) {
        loads.remove(id)
    }

    /** Returns a live view of the loads by endpoint id. */
    public fun asMap(): Map<String, EndpointLoad> = loads

    private companion object {
        // Several intervals of the exchange between peers.
        val REPORT_TIME_TO_LIVE = 800.milliseconds
        val EJECTION_TIME = 1.seconds
    }
}
