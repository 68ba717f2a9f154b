package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.endpoints.EndpointClient
import org.celerywalk.platform.wire.CallerRequest
import org.celerywalk.quarantine.CrashAges
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.quarantine.QuarantineDecision
import org.celerywalk.routing.ResponsibleInstance
import kotlin.time.ComparableTimeMark
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
        private var sentAt: ComparableTimeMark = state.timeSource.markNow()
        private var answeredAt: ComparableTimeMark? = null

        /** True if a part is in quarantine now, also if the request was sent before. May be called by any thread. */
        val isQuarantined: Boolean get() = state.quarantine.isAnyQuarantined(parts)

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

        /** Records that the request is about to be sent to an endpoint, on a new connection. */
        fun beginSend() {
            sentAt = state.timeSource.markNow()
            answeredAt = null
        }

        /**
         * Records that [endpoint] began to answer the request. Further calls for a send have no effect, since a long
         * answer says nothing about parts that became harmful after it began.
         */
        fun recordAnswer(endpoint: RegisteredEndpoint) {
            if (answeredAt != null) return
            answeredAt = state.timeSource.markNow()
            state.quarantine.recordAnswer(endpoint.quarantineName, parts, sentAt.elapsedNow()).forEach {
                log.write("part_cleared", "id" to request.attemptId, "part" to it)
            }
        }

        /**
         * Records the [outcome] of a send to [endpoint]. If the endpoint has crashed, that counts against the request's
         * parts, unless it had been answering the request for some time. Blocks while the endpoint is checked.
         *
         * @param isCancelled true if the request was cancelled, which says nothing about the endpoint.
         */
        fun recordOutcome(endpoint: RegisteredEndpoint, outcome: AttemptOutcome, isCancelled: Boolean) {
            if (!outcome.mayHaveExecuted) return
            isAdmitted = false
            isOnTrial = false
            val lostAt = state.timeSource.markNow()
            val hasOutlivedAnswer =
                answeredAt?.let { lostAt - it >= PromptPartQuarantine.ANSWER_PROOF_TIME } ?: false
            val isSuspect = parts.isNotEmpty() && !isCancelled && !hasOutlivedAnswer
            if (isSuspect && outcome.isUnreachable && isCrashed(endpoint)) recordCrash(endpoint, lostAt)
        }

        /** Allows another trial if no endpoint has received this one; to be called after the last send. */
        fun withdrawUnsentTrial() {
            if (isOnTrial) state.quarantine.withdrawTrial(parts)
        }

        private fun recordCrash(endpoint: RegisteredEndpoint, lostAt: ComparableTimeMark) {
            // The parts of an answer that has just begun are known from recordAnswer.
            val accusedParts = if (answeredAt == null) parts else emptyList()
            val ages = CrashAges(sinceLoss = lostAt.elapsedNow(), sinceAlive = sentAt.elapsedNow())
            log.write(
                "endpoint_crashed",
                "id" to request.attemptId,
                "endpoint" to endpoint.id,
                "parts" to parts.joinToString(","),
                "answering" to true.takeIf { answeredAt != null },
                "alive_ms" to ages.sinceAlive.inWholeMilliseconds,
                "lost_ms" to ages.sinceLoss.inWholeMilliseconds,
            )
            state.quarantine.recordCrash(endpoint.quarantineName, accusedParts, ages)
                .forEach { log.write("part_quarantined", "part" to it) }
        }
    }

    private fun isCrashed(endpoint: RegisteredEndpoint): Boolean =
        state.quarantine.isCrashKnown(endpoint.quarantineName) || hasCrashed(endpoint)

    // An endpoint may start again under the same id.
    private val RegisteredEndpoint.quarantineName: String get() = listOfNotNull(id, startedAtMillis).joinToString("/")

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
