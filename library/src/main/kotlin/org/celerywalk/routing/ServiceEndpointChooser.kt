package org.celerywalk.routing

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.limit.EndpointCapacities
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Chooses an endpoint of a service without model replicas by its load, error share and data centre.
 *
 * @param gatewayCount returns the number of gateways that share the endpoints.
 */
public class ServiceEndpointChooser(
    private val loads: FleetLoads,
    private val dataCentre: String,
    private val capacities: EndpointCapacities,
    private val gatewayCount: () -> Int,
    private val random: Random = Random.Default,
) {
    /**
     * Returns the endpoint of [candidates] with the shortest expected wait, or null if there is none.
     * Ejected endpoints are used only if all candidates are ejected.
     */
    public fun choose(candidates: List<RegisteredEndpoint>): RegisteredEndpoint? =
        withoutEjected(candidates).minByOrNull { cost(it) * serviceTimeFactor(it) + remotePenalty(it) }

    /**
     * Returns the better one of two random endpoints of [candidates] with room under their concurrency limits, or null
     * if none has room. Ejected endpoints are used only if all candidates are ejected.
     *
     * The calls of other gateways are known late, and gateways that all chose the best endpoint would overload it.
     */
    public fun chooseWithRoom(candidates: List<RegisteredEndpoint>): RegisteredEndpoint? {
        val usable = withoutEjected(candidates)
        val slowness = usable.map { slowness(it, usable) }
        val free = usable.indices.filter { hasRoom(usable[it], slowness[it]) }
        if (free.size <= 1) return free.firstOrNull()?.let(usable::get)
        val first = random.nextInt(free.size)
        val second = (first + 1 + random.nextInt(free.size - 1)) % free.size
        return listOf(free[minOf(first, second)], free[maxOf(first, second)])
            .minBy { cost(usable[it]) * slowness[it] + remotePenalty(usable[it]) }
            .let(usable::get)
    }

    /** Returns how many times longer a call takes at [endpoint] than at its [peers], 1 unless it is an outlier. */
    public fun slowness(endpoint: RegisteredEndpoint, peers: List<RegisteredEndpoint>): Double = capacities.slowness(
        capacities.getOrCreate(endpoint.id, endpoint.slots),
        endpoint.service,
        loads.getOrCreate(endpoint.id).ownWork.calls,
    ) { peers.map { capacities.getOrCreate(it.id, it.slots) } }

    /** Estimates the time until a new call to [endpoint] would be answered. */
    public fun expectedDuration(endpoint: RegisteredEndpoint): Duration {
        val load = loads.getOrCreate(endpoint.id)
        val rounds = 1 + load.work().calls / endpoint.slots.coerceAtLeast(1)
        return load.averageServiceTime * rounds
    }

    private fun withoutEjected(candidates: List<RegisteredEndpoint>): List<RegisteredEndpoint> =
        candidates.filterNot { loads.getOrCreate(it.id).health.isEjected }.ifEmpty { candidates }

    // An endpoint that is twice as slow gets half of the concurrent calls, so a quarter of the calls.
    private fun hasRoom(endpoint: RegisteredEndpoint, slowness: Double): Boolean {
        val load = loads.getOrCreate(endpoint.id)
        return capacities.getOrCreate(endpoint.id, endpoint.slots)
            .hasRoom(load.ownWork.calls, load.work().calls, gatewayCount(), scale = 1 / slowness)
    }

    private fun cost(endpoint: RegisteredEndpoint): Double {
        val load = loads.getOrCreate(endpoint.id)
        val callsPerSlot = (load.work().calls + 1.0) / endpoint.slots.coerceAtLeast(1)
        return callsPerSlot * (1 + ERROR_SHARE_WEIGHT * load.health.errorRate)
    }

    private fun remotePenalty(endpoint: RegisteredEndpoint): Double =
        if (endpoint.dataCentre == dataCentre) 0.0 else REMOTE_PENALTY

    // Slow endpoints get fewer calls; the average service time is relative to that of a typical call.
    private fun serviceTimeFactor(endpoint: RegisteredEndpoint): Double =
        loads.getOrCreate(endpoint.id).averageServiceTime.inWholeMicroseconds / TYPICAL_SERVICE_MICROS + 1

    private companion object {
        const val ERROR_SHARE_WEIGHT = 2.0
        const val TYPICAL_SERVICE_MICROS = 30_000.0

        // Less than the cost of one more call at an endpoint with ten slots.
        const val REMOTE_PENALTY = 0.05
    }
}
