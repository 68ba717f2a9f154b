package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.admission.AdmittedRequest
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.gateway.callers.CancelReason
import org.celerywalk.platform.wire.ForwardedGeneration
import org.celerywalk.platform.wire.ForwardedRequest
import org.celerywalk.route.RequestKind
import org.celerywalk.route.selectService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a forwarded request ended, for logs and metrics.
 *
 * @property outcome name of the outcome.
 * @property reason why the last attempt gave no complete response, or null if it did.
 * @property obstacle why there was no further attempt.
 */
internal class ForwardingResult(val outcome: String, val reason: String?, val obstacle: RetryObstacle)

/** Forwards one admitted request to endpoints, with retries within the limits of its route and the retry budget. */
internal class RequestForwarder(
    private val exchange: CallerExchange,
    private val admitted: AdmittedRequest,
    private val timeout: Duration,
    private val context: ForwardingContext,
    private val isStopping: () -> Boolean,
) {
    private val route = admitted.route
    private val service = route.selectService(context.random)
    private val budget = context.state.retryBudgetOf(service)
    private val sentEndpointIds = mutableListOf<String>()
    private val relay = ResponseRelay(exchange, route, context.sendContext.responseMemory)
    private val sender = EndpointSender(exchange, route, admitted.body, relay, context.state, context.sendContext)
    private val candidates = CandidateSelector(context.state, context.random)
    private val quarantine = context.quarantine.begin(exchange.caller)
    private val timeLeft: () -> Duration = { timeout - exchange.elapsed() }
    private val retries = RequestRetries(exchange, route, budget, relay, timeLeft)
    private val isStream = route.kind == RequestKind.STREAMING
    private val hasEngine = admitted.activeConfiguration.configuration.services[service]?.engine != null
    private val isGeneration = exchange.caller.model != null && hasEngine
    private val serviceCalls = ServiceCallPlacer(exchange, admitted, service, hasEngine, context)
    private val placer = GatedPlacer(exchange, admitted, service, context, timeLeft)
    private var lastServerError: BufferedResponse? = null

    /** IDs of the endpoints that the request was sent to, in order. */
    val endpointIds: List<String> get() = sentEndpointIds

    /** Forwards the request, completes the caller's response and returns the result for logs and metrics. */
    fun forward(): ForwardingResult = relay.use {
        budget.recordRequest()
        var outcome = sendToNextEndpoint()
        var obstacle = retries.awaitRetry(outcome, sentEndpointIds.size)
        while (obstacle == null) {
            outcome = sendToNextEndpoint()
            obstacle = retries.awaitRetry(outcome, sentEndpointIds.size)
        }
        quarantine.withdrawUnsentTrial()
        if (retries.executions == 0) {
            admitted.refund()
            placer.withdraw()
        }
        ForwardingResult(completeResponse(outcome), outcome.failureReason, obstacle)
    }

    private fun sendToNextEndpoint(): AttemptOutcome {
        quarantine.reject()?.let { return it }
        val selections = candidates.selections(service, route.name, sentEndpointIds, mayRepeat = retries.mustGoOn)
        // A request that the few replicas of a new version have no room for goes to the others.
        return selections.map { it to sendToOneOf(it) }
            .first { (selection, outcome) -> !selection.isCanary || outcome !is AttemptOutcome.Rejected }.second
    }

    private fun sendToOneOf(selection: CandidateSelection): AttemptOutcome =
        when {
            exchange.cancelReason != null -> AttemptOutcome.Cancelled
            selection.pauseEnd != null -> AttemptOutcome.Rejected("endpoints_pause", selection.pauseEnd)
            isGeneration -> sendToReplica(selection.endpoints)
            else -> sendToServiceEndpoint(selection.endpoints)
        }

    private fun sendToReplica(candidates: List<RegisteredEndpoint>): AttemptOutcome =
        when (val decision = placer.place(candidates, isFirstSend = sentEndpointIds.isEmpty())) {
            is PlacementDecision.Placed ->
                decision.reservation.use {
                    send(decision.endpoint, decision.headers, decision.startLimit) {
                        it.releasePrefill(hasToken = isStream && relay.hasAnswerBegun)
                        placer.recordAnswer()
                    }
                }
            PlacementDecision.Cancelled -> AttemptOutcome.Cancelled
            is PlacementDecision.Refused -> AttemptOutcome.Rejected(decision.reason, decision.retryAfter)
        }

    private fun sendToServiceEndpoint(candidates: List<RegisteredEndpoint>): AttemptOutcome =
        when (val decision = serviceCalls.place(candidates, timeLeft())) {
            is CallGateDecision.Admitted -> decision.pass.use { pass ->
                send(pass.endpoint, null, null) { if (!isStream) pass.recordAnswerRead() }
                    .also { pass.recordOutcome(it, exchange.cancelReason) }
            }
            is CallGateDecision.Refused -> AttemptOutcome.Rejected(decision.reason, decision.retryAfter)
            is CallGateDecision.Cancelled -> AttemptOutcome.Cancelled
        }

    // Called by other threads. A gateway that stops may end before another endpoint has sent the rest of a stream.
    private fun canGoOnElsewhere(sentIds: List<String>): Boolean {
        val mustStay = isStream && isStopping()
        if (mustStay || !relay.canContinue || quarantine.isQuarantined) return false
        val free = candidates.selectFree(service, sentIds)
        return if (isGeneration) {
            placer.canPlace(free)
        } else {
            serviceCalls.canPlace(free, timeLeft())
        }
    }

    private fun send(
        endpoint: RegisteredEndpoint,
        generation: ForwardedGeneration?,
        startLimit: Duration?,
        onBodyRead: () -> Unit,
    ): AttemptOutcome {
        sentEndpointIds += endpoint.id
        if (sentEndpointIds.size == 1) context.state.rollouts?.recordFirstSend(route.name, endpoint)
        val forwarded = ForwardedRequest(
            endpointId = endpoint.id,
            timeLeft = (timeLeft() - RESPONSE_DELIVERY_TIME).coerceAtLeast(1.milliseconds),
            account = admitted.account?.name,
            lastEventId = relay.lastEventId ?: exchange.caller.lastEventId.takeIf { route.isResumable },
            generation = generation,
        )
        val sentIds = sentEndpointIds.toList()
        val canRunAgain = route.isRetryable && retries.executions + 1 < route.maxAttempts
        // An idempotent request leaves half of its time to the next endpoint.
        val stallTime = if (isStream) route.stallTimeout else timeLeft() / 2
        // The budget is checked first, since it may be spent for long and a placement takes more time to plan.
        val stall = StallLimit(stallTime) { budget.hasRetry && canGoOnElsewhere(sentIds) && budget.tryRetry() }
        val tryTakeRelocation = { budget.hasOptionalRetry && canGoOnElsewhere(sentIds) && budget.tryOptionalRetry() }
        quarantine.beginSend()
        val outcome = sender.send(
            endpoint,
            forwarded,
            SendLimits(start = startLimit, stall = stall.takeIf { canRunAgain }),
            tryTakeRelocation.takeIf { isStream && canRunAgain },
        ) {
            onBodyRead()
            if (relay.hasAnswerBegun) quarantine.recordAnswer(endpoint)
        }
        quarantine.recordOutcome(endpoint, outcome, isCancelled = exchange.cancelReason != null)
        retries.record(outcome)
        if (outcome is AttemptOutcome.ServerError) lastServerError = outcome.response
        return outcome
    }

    private fun completeResponse(outcome: AttemptOutcome): String {
        val response = exchange.response
        val serverError = lastServerError
        return when {
            outcome is AttemptOutcome.Completed -> "answered"
            exchange.cancelReason == CancelReason.CALLER_LEFT -> "caller_left".also { response.abort() }
            response.isCommitted -> "broken_off".also { response.abort() }
            serverError != null -> "failed".also { relay.sendBuffered(serverError) }
            exchange.cancelReason == CancelReason.TIME_IS_UP -> refuseCancelled("timeout", GATEWAY_TIMEOUT)
            exchange.cancelReason == CancelReason.STOPPING -> refuseCancelled("stopping", BAD_GATEWAY)
            retries.executions > 0 -> "lost".also { response.refuse(BAD_GATEWAY, "endpoint_lost", null) }
            else -> refuseNotExecuted(outcome)
        }
    }

    // Only a request that was not sent may be refused with the promise that it has not run.
    private fun refuseCancelled(reason: String, statusIfSent: Int): String {
        if (retries.executions > 0) {
            exchange.response.refuse(statusIfSent, reason, null)
        } else {
            exchange.response.refuse(UNAVAILABLE, "${reason}_before_start", null)
        }
        return reason
    }

    private fun refuseNotExecuted(outcome: AttemptOutcome): String {
        val rejected = outcome as? AttemptOutcome.Rejected
        val reason = rejected?.reason ?: (outcome as? AttemptOutcome.NotExecuted)?.reason ?: "not_run"
        exchange.response.refuse(UNAVAILABLE, reason, rejected?.retryAfter ?: DEFAULT_RETRY_AFTER)
        return reason
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val DEFAULT_RETRY_AFTER = 300.milliseconds

        // Subtracted from the endpoint's deadline, so that its response can still reach the caller.
        val RESPONSE_DELIVERY_TIME = 5.milliseconds
    }
}
