package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.rollout.RolloutRouting
import kotlin.time.Duration

/** Records [outcome] of a request of [route] as evidence; a refusal and a relocated stream are none. */
internal fun RolloutRouting.recordOutcome(
    route: String,
    endpoint: RegisteredEndpoint,
    outcome: AttemptOutcome,
    time: Duration,
) {
    val isRefusal = outcome is AttemptOutcome.NotExecuted && outcome.wasSent
    if (isRefusal || outcome is AttemptOutcome.Relocated) return
    recordResponse(route, endpoint, outcome.isUnreachable || outcome is AttemptOutcome.ServerError, time)
}
