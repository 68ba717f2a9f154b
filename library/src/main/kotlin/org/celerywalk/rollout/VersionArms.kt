package org.celerywalk.rollout

import org.celerywalk.endpoint.RegisteredEndpoint
import kotlin.math.ceil

/** Divides the endpoints of a service by their software version. */
public object VersionArms {
    /**
     * Returns the version that is in use: [previous] as long as it has endpoints, otherwise that of the endpoint which
     * was started first. Replicas of another version that were started beside it wait for a roll-out.
     *
     * @param excluded version that is not in use, since it is being rolled out or was rolled back.
     */
    public fun versionInUse(endpoints: List<RegisteredEndpoint>, previous: String?, excluded: String?): String? {
        val others = endpoints.filter { excluded == null || it.softwareVersion != excluded }
        if (previous != null && others.any { it.softwareVersion == previous }) return previous
        return others.minByOrNull { it.startedAtMillis ?: 0 }?.softwareVersion
    }

    /**
     * Returns those of the [new] replicas that get canary requests: as many as the [share] needs at the usual load of
     * one of [oldCount] replicas, so that faults under load show. All gateways return the same ones.
     */
    public fun canaryReplicas(new: List<RegisteredEndpoint>, oldCount: Int, share: Double): List<RegisteredEndpoint> =
        new.sortedBy { it.id }.take(ceil(oldCount * share).toInt().coerceAtLeast(1))
}
