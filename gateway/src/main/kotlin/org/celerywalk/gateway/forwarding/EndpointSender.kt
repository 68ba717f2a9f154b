package org.celerywalk.gateway.forwarding

import okhttp3.Call
import okhttp3.Response
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.gateway.endpoints.EndpointRequest
import org.celerywalk.gateway.endpoints.SendResult
import org.celerywalk.platform.wire.EndpointResponseHeaders
import org.celerywalk.platform.wire.ForwardedHeaders
import org.celerywalk.platform.wire.ForwardedRequest
import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits of one send.
 *
 * @property start time until the endpoint starts to answer, or null if only the request's own timeout applies.
 * @property stall limit on the silence of the endpoint, or null if it may be silent.
 */
internal class SendLimits(val start: Duration?, val stall: StallLimit?)

/** Sends the request of [exchange] to one endpoint, classifies the outcome and records the endpoint's health. */
internal class EndpointSender(
    private val exchange: CallerExchange,
    private val route: Route,
    private val body: ByteArray,
    private val relay: ResponseRelay,
    private val state: FleetState,
    private val context: SendContext,
) {
    private var firstReadAt: Duration? = null

    /**
     * Sends the request once to [endpoint]. Blocks until the response is relayed or the send has failed.
     *
     * @param tryTakeRelocation takes a retry from the retry budget, or null if the stream can't be relocated.
     * @param onBodyRead called after each read of the response body, first with its first bytes.
     */
    fun send(
        endpoint: RegisteredEndpoint,
        forwarded: ForwardedRequest,
        limits: SendLimits,
        tryTakeRelocation: (() -> Boolean)?,
        onBodyRead: () -> Unit,
    ): AttemptOutcome {
        val headers = ForwardedHeaders.encode(exchange.headers, forwarded)
        val request = EndpointRequest(exchange.method, exchange.target, headers, body)
        val call = context.client.prepare(endpoint.address, request)
            ?: return AttemptOutcome.Rejected("path_not_canonical", Duration.ZERO, isTemporary = false)
        exchange.attach(call)
        val claim = SendClaim(call)
        val expectedWeightsVersion = forwarded.generation?.expectedWeightsVersion
        val sentAt = exchange.elapsed()
        firstReadAt = null
        val timeSinceEvent = { exchange.elapsed() - maxOf(sentAt, relay.lastEventAt) }
        return sendRelocatable(endpoint, claim, tryTakeRelocation) {
            StartDeadline(context.timers, claim, limits.start).use { deadline ->
                StallDeadline(context.timers, claim, limits.stall, timeSinceEvent).use {
                    sendAndClassify(endpoint, call, claim, expectedWeightsVersion) {
                        deadline.close()
                        firstReadAt = firstReadAt ?: exchange.elapsed()
                        onBodyRead()
                    }
                }
            }
        }
    }

    private fun sendRelocatable(
        endpoint: RegisteredEndpoint,
        claim: SendClaim,
        tryTakeRelocation: (() -> Boolean)?,
        send: () -> AttemptOutcome,
    ): AttemptOutcome {
        val sentAt = exchange.elapsed()
        val expectedTokens = exchange.caller.outputTokens
        val stream = tryTakeRelocation?.let { tryTakeRetry ->
            state.streams.begin(expectedTokens) { claim.tryCancel(AttemptOutcome.Relocated, tryTakeRetry) }
        }
        val outcome = claim.explain(stream?.let { state.streams.add(endpoint.id, it) }.use { send() })
        val duration = exchange.elapsed() - sentAt
        if (exchange.caller.model != null && outcome is AttemptOutcome.Completed) {
            state.streams.recordCompletion(expectedTokens, duration)
        }
        recordHealth(endpoint, outcome, duration)
        // A request that was cancelled is a response only if the endpoint had the time for one.
        if (exchange.cancelReason == null || duration >= minObservationTime(endpoint)) {
            state.rollouts?.recordOutcome(route.name, endpoint, outcome, duration)
        }
        logSend(endpoint, outcome)
        return outcome
    }

    private fun sendAndClassify(
        endpoint: RegisteredEndpoint,
        call: Call,
        claim: SendClaim,
        expectedWeightsVersion: Int?,
        onBodyRead: () -> Unit,
    ): AttemptOutcome =
        when (val result = context.client.send(call)) {
            is SendResult.NotSent -> AttemptOutcome.NotExecuted(result.cause, wasSent = false)
            is SendResult.ResponseLost -> AttemptOutcome.ResponseLost(result.cause)
            is SendResult.ResponseReceived -> result.response.use { response ->
                classify(endpoint, result, expectedWeightsVersion) { relay.relay(it, claim, onBodyRead) }
                    // Closes the connection without reading the rest of the response.
                    .also { if (it is AttemptOutcome.ResponseLost) call.cancel() }
            }
        }

    private fun classify(
        endpoint: RegisteredEndpoint,
        result: SendResult.ResponseReceived,
        expectedWeightsVersion: Int?,
        relay: (Response) -> AttemptOutcome,
    ): AttemptOutcome {
        val response = result.response
        val headers = EndpointResponseHeaders.decode(response.code, result::fields)
        recordNotices(endpoint, headers)
        // An endpoint may repeat the response to another request. One without an ID is the only one of its connection.
        if (headers.attemptId != null && headers.attemptId != exchange.caller.attemptId) {
            return AttemptOutcome.ResponseLost("response to another request")
        }
        recordWeightsVersion(endpoint, headers)
        return when {
            headers.isNotExecuted -> handleNotExecuted(endpoint, response.code, headers, expectedWeightsVersion)
            // The caller would take the status for a statement that the request did not run.
            response.code in NOT_EXECUTED_STATUSES && route.kind != RequestKind.IDEMPOTENT ->
                AttemptOutcome.ResponseLost("status_${response.code} without a statement that it was not executed")
            response.isSuccessful && !headers.isSigned -> AttemptOutcome.ResponseLost("success without a signature")
            else -> relay(response)
        }
    }

    private fun recordNotices(endpoint: RegisteredEndpoint, headers: EndpointResponseHeaders) {
        if (headers.endpointId != null && headers.endpointId != endpoint.id) return
        val notices = state.directory.notices
        if (headers.isLeaving && notices.recordLeaving(endpoint.start)) {
            context.log.write("endpoint_says_leaving", "id" to exchange.caller.attemptId, "endpoint" to endpoint.id)
        }
        val pause = headers.pause
        if (pause == null) {
            if (!headers.isNotExecuted) notices.recordAnswer(endpoint.start)
        } else if (pause > Duration.ZERO) {
            notices.recordPause(endpoint.start, pause)
            context.log.write(
                "endpoint_pauses",
                "id" to exchange.caller.attemptId,
                "endpoint" to endpoint.id,
                "ms" to pause.inWholeMilliseconds,
            )
        }
    }

    private fun recordHealth(endpoint: RegisteredEndpoint, outcome: AttemptOutcome, duration: Duration) {
        val load = state.loads.getOrCreate(endpoint.id)
        when {
            exchange.cancelReason != null && duration < minObservationTime(endpoint) -> Unit
            outcome is AttemptOutcome.Relocated || outcome is AttemptOutcome.NotExecuted && outcome.wasSent -> Unit
            outcome.isUnreachable -> if (load.health.recordFailure()) {
                context.log.write("endpoint_ejected", "endpoint" to endpoint.id, "service" to endpoint.service)
            }
            else -> load.health.recordAnswer(error = outcome is AttemptOutcome.ServerError)
        }
        if (outcome is AttemptOutcome.Completed && exchange.caller.model == null) load.recordServiceTime(duration)
    }

    // A call that its caller or a deadline cancels earlier than this is no evidence about the endpoint's health.
    private fun minObservationTime(endpoint: RegisteredEndpoint): Duration = if (exchange.caller.model != null) {
        MIN_GENERATION_OBSERVATION_TIME
    } else {
        maxOf(
            MIN_SERVICE_OBSERVATION_TIME,
            state.loads.getOrCreate(endpoint.id).averageServiceTime * SERVICE_TIME_FACTOR,
        )
    }

    private fun recordWeightsVersion(endpoint: RegisteredEndpoint, responseHeaders: EndpointResponseHeaders) {
        val model = exchange.caller.model ?: return
        val isSameProcess = responseHeaders.endpointId == null || responseHeaders.endpointId == endpoint.id
        responseHeaders.weightsVersion?.takeIf { isSameProcess }
            ?.let { state.loads.getOrCreate(endpoint.id).recordWeightsVersion(model, it) }
    }

    // A replica refuses a request if it has other weights than expected, or none during a weight change. The version is
    // taken from the replica's report if the response does not name it.
    private fun handleNotExecuted(
        endpoint: RegisteredEndpoint,
        status: Int,
        responseHeaders: EndpointResponseHeaders,
        expectedWeightsVersion: Int?,
    ): AttemptOutcome {
        val load = state.loads.getOrCreate(endpoint.id)
        if (exchange.caller.model != null && status == MISDIRECTED_REQUEST && responseHeaders.weightsVersion == null) {
            context.replicas.report(endpoint.address, REPORT_TIMEOUT).onRight { report ->
                report.versions.forEach { (model, version) -> load.recordWeightsVersion(model, version) }
            }
        }
        if (exchange.caller.model != null && status == SERVICE_UNAVAILABLE) {
            load.recordWeightChangeStart(REFUSAL_BACKOFF)
        }
        // If neither the response nor the report shows other weights than expected, the refusal means that another
        // process of the endpoint has the address now.
        val hasExpectedVersion = exchange.caller.model?.let(load::version) == expectedWeightsVersion
        if (status == MISDIRECTED_REQUEST && hasExpectedVersion && load.health.recordReplacement()) {
            context.log.write("endpoint_replaced", "endpoint" to endpoint.id, "address" to endpoint.address)
        }
        return AttemptOutcome.NotExecuted("status_$status", wasSent = true)
    }

    private fun logSend(endpoint: RegisteredEndpoint, outcome: AttemptOutcome) {
        val outcomeName = when (outcome) {
            is AttemptOutcome.NotExecuted -> "not_run"
            is AttemptOutcome.ResponseLost, is AttemptOutcome.NotStarted, is AttemptOutcome.Stalled -> "lost"
            is AttemptOutcome.Relocated -> "relocated"
            is AttemptOutcome.ServerError -> "failed"
            else -> "answered"
        }
        context.metrics.recordSend(endpoint.service, outcomeName)
        context.log.write(
            "request_sent",
            "id" to exchange.caller.attemptId,
            "endpoint" to endpoint.id,
            "version" to endpoint.softwareVersion.takeIf { state.rollouts != null },
            "outcome" to outcomeName,
            "reason" to outcome.failureReason,
            "first_ms" to firstReadAt?.inWholeMilliseconds,
            "ms" to exchange.elapsed().inWholeMilliseconds,
        )
    }

    private companion object {
        const val MISDIRECTED_REQUEST = 421
        const val SERVICE_UNAVAILABLE = 503
        val NOT_EXECUTED_STATUSES = setOf(408, 429, SERVICE_UNAVAILABLE)
        val REPORT_TIMEOUT = 200.milliseconds

        // A replica that is full or changes its weights gets no other requests for this time.
        val REFUSAL_BACKOFF = 250.milliseconds
        val MIN_GENERATION_OBSERVATION_TIME = 2.seconds
        val MIN_SERVICE_OBSERVATION_TIME = 200.milliseconds
        const val SERVICE_TIME_FACTOR = 8
    }
}
