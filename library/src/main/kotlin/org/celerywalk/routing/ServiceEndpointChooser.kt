package org.celerywalk.routing

import org.celerywalk.endpoint.RegisteredEndpoint
import kotlin.time.Duration

/** Chooses an endpoint of a service without model replicas by its load, error share and data centre. */
public class ServiceEndpointChooser(private val loads: FleetLoads, private val dataCentre: String) {
    /**
     * Returns the endpoint of [candidates] with the shortest expected wait, or null if there is none.
     * Ejected endpoints are used only if all candidates are ejected.
     */
    public fun choose(candidates: List<RegisteredEndpoint>): RegisteredEndpoint? {
        val healthyEndpoints = candidates.filterNot { loads.getOrCreate(it.id).health.isEjected }
        return healthyEndpoints.ifEmpty { candidates }.minByOrNull(::cost)
    }

    /** Estimates the time until a new call to [endpoint] would be answered. */
    public fun expectedDuration(endpoint: RegisteredEndpoint): Duration {
        val load = loads.getOrCreate(endpoint.id)
        val rounds = 1 + load.work().calls / endpoint.slots.coerceAtLeast(1)
        return load.averageServiceTime * rounds
    }

    private fun cost(endpoint: RegisteredEndpoint): Double {
        val load = loads.getOrCreate(endpoint.id)
        val callsPerSlot = (load.work().calls + 1.0) / endpoint.slots.coerceAtLeast(1)
        val remotePenalty = if (endpoint.dataCentre == dataCentre) 0.0 else REMOTE_PENALTY
        return callsPerSlot * (1 + ERROR_SHARE_WEIGHT * load.health.errorRate) * serviceTimeFactor(load) +
            remotePenalty
    }

    // Slow endpoints get fewer calls; the average service time is relative to that of a typical call.
    private fun serviceTimeFactor(load: EndpointLoad): Double =
        load.averageServiceTime.inWholeMicroseconds / TYPICAL_SERVICE_MICROS + 1

    private companion object {
        const val ERROR_SHARE_WEIGHT = 2.0
        const val TYPICAL_SERVICE_MICROS = 30_000.0

        // Less than the cost of one more call at an endpoint with ten slots.
        const val REMOTE_PENALTY = 0.05
    }
}
