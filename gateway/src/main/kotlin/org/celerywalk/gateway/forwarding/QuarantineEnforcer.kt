package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.endpoints.EndpointClient
import org.celerywalk.platform.wire.CallerRequest
import org.celerywalk.quarantine.QuarantineDecision
import org.celerywalk.routing.ResponsibleInstance
import kotlin.time.Duration.Companion.seconds

/**
 * Applies the quarantine of prompt parts to the requests of this gateway. Peers learn of new evidence with the next
 * regular message: when endpoints crash, there is so much of it that a message for each would take too much time.
 *
 * @param reachablePeers names of the other gateways that this gateway hears from.
 */
internal class QuarantineEnforcer(
    private val state: FleetState,
    private val client: EndpointClient,
    private val log: EventLog,
    private val reachablePeers: () -> Set<String>,
) {
    /** Begins to apply the quarantine to [request]. */
    fun begin(request: CallerRequest): RequestQuarantine = RequestQuarantine(request)

    /** Quarantine of the shared prompt parts of one request. Used by one thread, apart from [isQuarantined]. */
    inner class RequestQuarantine(private val request: CallerRequest) {
        // The last part belongs to the request or its session, so no other request would be kept from the endpoints.
        private val parts =
            if (request.model == null) emptyList() else request.promptParts.dropLast(1).map { it.id }
        private var isAdmitted = false
        private var isOnTrial = false
        private var isAnswerRecorded = false

        /** True if a part is in quarantine now, also if the request was sent before. May be called by any thread. */
        val isQuarantined: Boolean get() = state.quarantine.quarantinedParts.keys.any(parts::contains)

        /** Returns the rejection of the request if a part is in quarantine, or null if the request may be sent. */
        fun reject(): AttemptOutcome.Rejected? = if (isAdmitted) null else decide()

        private fun decide(): AttemptOutcome.Rejected? {
            val decision = state.quarantine.check(parts, ::isTrialOwner)
            isAdmitted = decision !is QuarantineDecision.Refused
            isOnTrial = decision is QuarantineDecision.Trial
            return when (decision) {
                is QuarantineDecision.Admitted -> null
                is QuarantineDecision.Trial -> {
                    log.write("part_tried", "id" to request.attemptId, "part" to decision.part)
                    null
                }
                is QuarantineDecision.Refused -> {
                    log.write("request_quarantined", "id" to request.attemptId, "part" to decision.part)
                    val retryAfter = decision.retryAfter.coerceAtLeast(MIN_RETRY_AFTER)
                    AttemptOutcome.Rejected("prompt_part_quarantined", retryAfter, isTemporary = false)
                }
            }
        }

        /**
         * Records that an endpoint began to answer the request. Further calls have no effect, since a long answer says
         * nothing about parts that became harmful after it began.
         */
        fun recordAnswer() {
            if (isAnswerRecorded) return
            isAnswerRecorded = true
            state.quarantine.recordAnswer(parts).forEach {
                log.write("part_cleared", "id" to request.attemptId, "part" to it)
            }
        }

        /**
         * Records the [outcome] of a send to [endpoint].
         *
         * If [isCrashPossible], that is, the request was not cancelled and no endpoint began to answer it, a crash of
         * the endpoint counts against the request's parts. Blocks while the endpoint is checked.
         */
        fun recordOutcome(endpoint: RegisteredEndpoint, outcome: AttemptOutcome, isCrashPossible: Boolean) {
            if (!outcome.mayHaveExecuted) return
            isAdmitted = false
            isOnTrial = false
            val isSuspect = outcome.isUnreachable && isCrashPossible && parts.isNotEmpty()
            if (isSuspect && hasCrashed(endpoint)) recordCrash(endpoint)
        }

        /** Allows another trial if no endpoint has received this one; to be called after the last send. */
        fun withdrawUnsentTrial() {
            if (isOnTrial) state.quarantine.withdrawTrial(parts)
        }

        private fun recordCrash(endpoint: RegisteredEndpoint) {
            log.write(
                "endpoint_crashed",
                "id" to request.attemptId,
                "endpoint" to endpoint.id,
                "parts" to parts.joinToString(","),
            )
            // An endpoint may start again under the same id.
            val endpointStart = listOfNotNull(endpoint.id, endpoint.startedAtMillis).joinToString("/")
            state.quarantine.recordCrash(endpointStart, parts).forEach { log.write("part_quarantined", "part" to it) }
        }
    }

    // A planned end, a lost machine and a cut or reset connection don't count: the endpoint then drains, has left the
    // registry, is silent, or still accepts connections.
    private fun hasCrashed(endpoint: RegisteredEndpoint): Boolean {
        val isExpectedToServe = state.directory.endpoints[endpoint.id]?.let(state.directory::isLeaving) == false
        return isExpectedToServe && client.refusesConnections(endpoint.address)
    }

    private fun isTrialOwner(part: String) =
        ResponsibleInstance.isResponsible(state.settings.instance, part, reachablePeers())

    private companion object {
        // The gateway that owns the trial of a part may be another one.
        val MIN_RETRY_AFTER = 1.seconds
    }
}
