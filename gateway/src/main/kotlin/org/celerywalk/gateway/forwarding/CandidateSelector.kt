package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.FleetState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Endpoints that a request may be sent to.
 *
 * @property pauseEnd time after which the caller may come back if [endpoints] is empty because endpoints have asked for
 *   a pause, otherwise null.
 * @property isCanary true if the endpoints have a version that is being rolled out, for which a credit was taken.
 */
internal class CandidateSelection(
    val endpoints: List<RegisteredEndpoint>,
    val pauseEnd: Duration?,
    val isCanary: Boolean = false,
)

/** Selects the endpoints of a service that accept a request of this gateway. */
internal class CandidateSelector(private val state: FleetState, private val random: Random) {
    /**
     * Selects endpoints of [service] other than [sentIds], those that the request was sent to.
     *
     * If [mayRepeat] and no other endpoint is left, they are selected again, so that a request that must go on is not
     * given up.
     */
    fun select(service: String, sentIds: List<String>, mayRepeat: Boolean): CandidateSelection {
        val serving = state.directory.servingEndpoints(service)
        val (accepting, pausing) =
            (state.rollouts?.eligible(service, serving) ?: serving).partition(::acceptsCalls)
        val endpoints =
            accepting.filter { it.id !in sentIds }.ifEmpty { if (mayRepeat) accepting else emptyList() }
        val isPauseToBlame = endpoints.isEmpty() && pausing.isNotEmpty()
        return CandidateSelection(endpoints, if (isPauseToBlame) spreadPauseEnd(pausing) else null)
    }

    /**
     * Selects endpoints for the next attempt of a request of [route], as [select] does. The replicas of a version that
     * is being rolled out come before the others if the first attempt is to go there.
     */
    fun selections(
        service: String,
        route: String,
        sentIds: List<String>,
        mayRepeat: Boolean,
    ): Sequence<CandidateSelection> = sequence {
        if (sentIds.isEmpty()) {
            selectCanary(service, route)?.let { canary ->
                yield(canary)
                state.rollouts?.giveBack(service, route)
            }
        }
        yield(select(service, sentIds, mayRepeat))
    }

    /** Selects the replicas of a new version if the request of [route] to [service] is to go there, otherwise null. */
    private fun selectCanary(service: String, route: String): CandidateSelection? {
        val rollouts = state.rollouts ?: return null
        val replicas = rollouts.takeCanary(service, route, state.directory.servingEndpoints(service))
        val endpoints = replicas.filter(::acceptsCalls)
        if (replicas.isNotEmpty() && endpoints.isEmpty()) rollouts.giveBack(service, route)
        return if (endpoints.isEmpty()) null else CandidateSelection(endpoints, null, isCanary = true)
    }

    /** Selects endpoints of [service] other than [sentIds] that are likely to accept a request at once. */
    fun selectFree(service: String, sentIds: List<String>): List<RegisteredEndpoint> =
        select(service, sentIds, mayRepeat = false).endpoints.filter {
            val load = state.loads.getOrCreate(it.id)
            !load.isChangingWeights && !load.health.isEjected
        }

    private fun acceptsCalls(endpoint: RegisteredEndpoint): Boolean =
        state.directory.notices.accepts(endpoint.start, state.loads.getOrCreate(endpoint.id).ownWork.calls)

    // The callers are told different times, so that they don't all return at the same moment.
    private fun spreadPauseEnd(pausing: List<RegisteredEndpoint>): Duration {
        val wait = state.directory.notices.timeUntilAccepted(pausing.map { it.start })
        return wait + maxOf(wait * RETURN_SPREAD, MIN_RETURN_SPREAD) * random.nextDouble()
    }

    private companion object {
        // Share of the wait over which the return of the rejected callers is spread.
        const val RETURN_SPREAD = 0.25
        val MIN_RETURN_SPREAD = 300.milliseconds
    }
}
