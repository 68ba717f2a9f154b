package org.celerywalk.routing

import org.celerywalk.endpoint.RegisteredEndpoint
import kotlin.time.Duration

/** Chooses the endpoint of a plain service by its load, its recent errors and its data centre. */
public class ServiceEndpointChooser(private val loads: FleetLoads, private val dataCentre: String) {
    /**
     * Returns the endpoint of [candidates] with the shortest expected wait, or null if there is none.
     * Ejected endpoints are taken only if there is no other.
     */
    public fun choose(candidates: List<RegisteredEndpoint>): RegisteredEndpoint? {
        val healthy = candidates.filterNot { loads.of(it.id).health.ejected }
        return healthy.ifEmpty { candidates }.minByOrNull(::cost)
    }

    /** Time until a new call at [endpoint] would be answered. */
    public fun expectedAnswer(endpoint: RegisteredEndpoint): Duration {
        val load = loads.of(endpoint.id)
        val rounds = 1 + load.work().calls / endpoint.slots.coerceAtLeast(1)
        return load.averageServiceTime * rounds
    }

    private fun cost(endpoint: RegisteredEndpoint): Double {
        val load = loads.of(endpoint.id)
        val queue = (load.work().calls + 1.0) / endpoint.slots.coerceAtLeast(1)
        val remote = if (endpoint.dataCentre == dataCentre) 0.0 else REMOTE_COST
        return queue * (1 + ERROR_WEIGHT * load.health.errorShare) * speedFactor(load) + remote
    }

    // Endpoints that answer slowly get less work; the average is in units of a usual call.
    private fun speedFactor(load: EndpointLoad): Double =
        load.averageServiceTime.inWholeMicroseconds / MICROS_PER_UNIT + 1

    private companion object {
        const val ERROR_WEIGHT = 2.0
        const val MICROS_PER_UNIT = 30_000.0

        // Less than one more call in a queue of ten slots.
        const val REMOTE_COST = 0.05
    }
}
