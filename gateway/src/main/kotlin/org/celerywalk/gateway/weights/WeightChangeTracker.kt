package org.celerywalk.gateway.weights

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import kotlin.time.Duration

/** Keeps new work away from replicas that load new weights, and relocates their long streams. */
internal class WeightChangeTracker(private val state: FleetState, private val log: EventLog) {
    /** Records that this process sends a weight order to replica [endpoint], which takes at most [maxDuration]. */
    fun recordOrderStart(endpoint: String, maxDuration: Duration) {
        val load = state.loads.getOrCreate(endpoint)
        load.hasPendingWeightOrder = true
        load.recordWeightChangeStart(maxDuration)
    }

    /** Records that this process's order to replica [endpoint] has ended or was not accepted. */
    fun recordOrderEnd(endpoint: String) {
        val load = state.loads.getOrCreate(endpoint)
        load.hasPendingWeightOrder = false
        load.recordWeightChangeEnd()
    }

    /**
     * Records that replicas [endpoints] have accepted orders of this or another gateway: they get no new work for at
     * most [maxDuration], and those of their streams that would delay the change are relocated.
     */
    fun handleAcceptedOrders(endpoints: List<String>, maxDuration: Duration) {
        // All replicas are marked before the first stream is relocated, so that no stream moves to one of them.
        endpoints.forEach { state.loads.asMap()[it]?.recordWeightChangeStart(maxDuration) }
        endpoints.forEach { endpoint ->
            val relocated = state.streams.relocateFrom(endpoint)
            if (relocated > 0) log.write("streams_relocated", "endpoint" to endpoint, "streams" to relocated)
        }
    }
}
