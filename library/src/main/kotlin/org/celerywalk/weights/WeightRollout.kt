package org.celerywalk.weights

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.routing.FleetLoads
import kotlin.math.max

/** Names the newest weights of a model. */
public data class NamedWeights(val model: String, val version: Int)

/** Chooses which replicas take new weights next. */
public class WeightRollout(private val loads: FleetLoads) {
    /** Returns the replicas whose weights of [named] are older, those with the least work first. */
    public fun outdated(named: NamedWeights, replicas: List<RegisteredEndpoint>): List<RegisteredEndpoint> = replicas
        .filter { (version(it, named.model) ?: named.version) < named.version }
        .sortedBy { loads.of(it.id).work().calls }

    /** Number of replicas out of [total] that may be changing at once; the others keep serving. */
    public fun concurrency(total: Int): Int = max(MIN_AT_ONCE, total / SHARE_AT_ONCE)

    private fun version(replica: RegisteredEndpoint, model: String): Int? =
        loads.of(replica.id).version(model) ?: replica.models[model]

    private companion object {
        // Most of a change is the wait for running requests, so that fewer load at the same moment.
        const val SHARE_AT_ONCE = 2
        const val MIN_AT_ONCE = 2
    }
}
