package org.celerywalk.routing

import org.celerywalk.endpoint.EndpointHealth
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Keeps the load of every endpoint by id. */
public class FleetLoads(private val timeSource: TimeSource.WithComparableMarks) {
    private val loads = ConcurrentHashMap<String, EndpointLoad>()

    /** Returns the load of endpoint [id]. */
    public fun of(id: String): EndpointLoad = loads.computeIfAbsent(id) {
        EndpointLoad(timeSource, REPORTS_HOLD_FOR, EndpointHealth(timeSource, EJECT_FOR))
    }

    /** Drops endpoint [id]. */
    public fun forget(id: String) {
        loads.remove(id)
    }

    /** Lists the endpoints with a load of their own. */
    public fun all(): Map<String, EndpointLoad> = loads

    private companion object {
        // Several intervals of the exchange between processes.
        val REPORTS_HOLD_FOR = 800.milliseconds
        val EJECT_FOR = 1.seconds
    }
}
