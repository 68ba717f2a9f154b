package org.celerywalk.gateway

import kotlin.time.Duration

/** Acts on the news that replicas begin to take new weights: they get no work, and their streams go on elsewhere. */
internal class WeightChanges(private val state: FleetState, private val log: EventLog) {
    /** Replica [endpoint] gets an order of this process; it has ended after [atMost]. */
    fun ordering(endpoint: String, atMost: Duration) {
        val load = state.loads.of(endpoint)
        load.ordered = true
        load.startedWeightChange(atMost)
    }

    /** The order of this process for replica [endpoint] has ended, or was not accepted. */
    fun ended(endpoint: String) {
        val load = state.loads.of(endpoint)
        load.ordered = false
        load.endedWeightChange()
    }

    /** The replicas [endpoints] have accepted orders, here or at another gateway; the news holds for [atMost]. */
    fun begun(endpoints: List<String>, atMost: Duration) {
        // All are marked before the first stream looks for another place.
        endpoints.forEach { state.loads.all()[it]?.startedWeightChange(atMost) }
        endpoints.forEach { endpoint ->
            val streams = state.streams.relocateFrom(endpoint)
            if (streams > 0) log.write("streams_relocated", "endpoint" to endpoint, "streams" to streams)
        }
    }
}
