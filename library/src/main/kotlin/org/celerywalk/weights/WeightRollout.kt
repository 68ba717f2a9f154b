package org.celerywalk.weights

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.routing.DurationMovingAverage
import org.celerywalk.routing.FleetLoads
import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Names the newest weights of a model. */
public data class NamedWeights(val model: String, val version: Int)

/** Chooses which replicas take new weights next, and how many at once. Used by one thread. */
public class WeightRollout(private val loads: FleetLoads) {
    private val changeTime = DurationMovingAverage(USUAL_CHANGE)

    /**
     * Returns the replicas whose weights of [named] are older, in the order in which they should change.
     *
     * A replica that fails would hold up those that serve. Of the others, those with the oldest weights may soon not
     * serve at all, and the one that has least to read is done with its requests soonest.
     */
    public fun outdated(named: NamedWeights, replicas: List<RegisteredEndpoint>): List<RegisteredEndpoint> = replicas
        .filter { (version(it, named.model) ?: named.version) < named.version }
        .sortedWith(
            compareBy(
                { loads.of(it.id).health.ejected },
                { version(it, named.model) },
                { loads.of(it.id).work().queuedPrefillTokens },
                { loads.of(it.id).work().calls },
            ),
        )

    /** Time since the oldest weights that one of [outdated] has were superseded. */
    public fun longestSuperseded(model: String, outdated: List<RegisteredEndpoint>, named: NamedHistory): Duration =
        outdated.mapNotNull { version(it, model)?.let(named::supersededFor) }.maxOrNull() ?: Duration.ZERO

    /** Records that a replica took [time] from the order until it had its new weights. */
    public fun changedAfter(time: Duration) {
        changeTime.add(time)
    }

    /**
     * Number of replicas out of [total] that may be changing at once; the others keep serving.
     *
     * Few at once keep the capacity up. More are allowed if the [outdated] ones would otherwise not be done in
     * [timeLeft], after which requests may not begin on old weights.
     */
    public fun concurrency(total: Int, outdated: Int, timeLeft: Duration): Int {
        val usual = max(MIN_AT_ONCE, total / SHARE_AT_ONCE)
        val most = max(MIN_AT_ONCE, total / MOST_AT_ONCE)
        val needed = if (timeLeft <= changeTime.value) most else ceil(outdated * (changeTime.value / timeLeft)).toInt()
        return needed.coerceIn(usual, most)
    }

    private fun version(replica: RegisteredEndpoint, model: String): Int? =
        loads.of(replica.id).version(model) ?: replica.models[model]

    private companion object {
        // Half a second of loading, and the running requests before it.
        val USUAL_CHANGE = 1200.milliseconds

        // A quarter of the replicas may change at once, and half of them if time is short.
        const val SHARE_AT_ONCE = 4
        const val MOST_AT_ONCE = 2
        const val MIN_AT_ONCE = 2
    }
}
