package org.celerywalk.weights

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.routing.DurationMovingAverage
import org.celerywalk.routing.FleetLoads
import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Newest published weights [version] of [model]. */
public data class TargetWeights(val model: String, val version: Int)

/** Plans a rolling update of model weights: which replicas change next, and how many at once. Used by one thread. */
public class WeightRollout(private val loads: FleetLoads) {
    private val changeTime = DurationMovingAverage(INITIAL_CHANGE_TIME)

    /**
     * Returns the replicas with weights older than [target], in the order in which they should change.
     *
     * Ejected replicas come last, because a wait for an ejected replica delays the replicas that serve. Of the healthy
     * replicas, those with the oldest weights come first, because they may soon not be allowed to serve at all; then
     * those with the fewest queued prefill tokens, because they finish their requests soonest.
     */
    public fun outdatedReplicas(
        target: TargetWeights,
        replicas: List<RegisteredEndpoint>,
    ): List<RegisteredEndpoint> = replicas
        .filter { (version(it, target.model) ?: target.version) < target.version }
        .sortedWith(
            compareBy(
                { loads.getOrCreate(it.id).health.isEjected },
                { version(it, target.model) },
                { loads.getOrCreate(it.id).work().queuedPrefillTokens },
                { loads.getOrCreate(it.id).work().calls },
            ),
        )

    /** Returns the longest time for which the weights of any replica in [outdatedReplicas] have been superseded. */
    public fun longestSupersededTime(
        model: String,
        outdatedReplicas: List<RegisteredEndpoint>,
        history: WeightHistory,
    ): Duration = outdatedReplicas
        .mapNotNull { version(it, model)?.let(history::timeSinceSuperseded) }
        .maxOrNull() ?: Duration.ZERO

    /** Records the [time] that a replica took from the order until it had its new weights. */
    public fun recordChangeTime(time: Duration) {
        changeTime.add(time)
    }

    /**
     * Returns how many of [replicaCount] replicas may change their weights at once; the other replicas keep serving.
     *
     * A low limit keeps serving capacity up. The limit rises if the [outdatedCount] outdated replicas would otherwise
     * not finish within [timeLeft], after which requests may not start on old weights.
     */
    public fun maxConcurrentChanges(replicaCount: Int, outdatedCount: Int, timeLeft: Duration): Int {
        val usualLimit = max(MIN_CONCURRENT_CHANGES, replicaCount / USUAL_CHANGE_DIVISOR)
        val maxLimit = max(MIN_CONCURRENT_CHANGES, replicaCount / MAX_CHANGE_DIVISOR)
        val neededToFinish =
            if (timeLeft <= changeTime.value) maxLimit else ceil(outdatedCount * (changeTime.value / timeLeft)).toInt()
        return neededToFinish.coerceIn(usualLimit, maxLimit)
    }

    private fun version(replica: RegisteredEndpoint, model: String): Int? =
        loads.getOrCreate(replica.id).version(model) ?: replica.models[model]

    private companion object {
        // Half a second of loading, after the running requests have finished.
        val INITIAL_CHANGE_TIME = 1200.milliseconds

        // A quarter of the replicas may change at once, or half of them if time is short.
        const val USUAL_CHANGE_DIVISOR = 4
        const val MAX_CHANGE_DIVISOR = 2
        const val MIN_CONCURRENT_CHANGES = 2
    }
}
