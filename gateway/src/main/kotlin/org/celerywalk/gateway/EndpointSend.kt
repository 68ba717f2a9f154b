package org.celerywalk.gateway

import okhttp3.Call
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.EndpointAnswer
import org.celerywalk.platform.wire.ForwardedHeaders
import org.celerywalk.platform.wire.ForwardedRequest
import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends the request of [exchange] to single endpoints and judges how that ended. */
internal class EndpointSend(
    private val exchange: CallerExchange,
    private val route: Route,
    private val body: ByteArray,
    private val relay: AnswerRelay,
    private val state: FleetState,
    private val calls: EndpointCalls,
) {
    /**
     * Sends once to [endpoint].
     *
     * @param atMost time after which the send is given up, or null to wait for the end of the request.
     * @param mayRelocate takes a repeated send from the budget, or null if the stream can't go on elsewhere.
     * @param onAnswer called at the first byte of the answer's body.
     */
    fun send(
        endpoint: RegisteredEndpoint,
        forwarded: ForwardedRequest,
        atMost: Duration?,
        mayRelocate: (() -> Boolean)?,
        onAnswer: () -> Unit,
    ): Verdict {
        val fields = ForwardedHeaders.encode(exchange.headers, forwarded)
        val request = EndpointRequest(exchange.method, exchange.target, fields, body)
        val silence = STREAM_SILENCE.takeIf { route.kind == RequestKind.STREAMING && route.isRetryable }
        val call = calls.client.prepare(endpoint.address, request, silence)
            ?: return Verdict.Unplaced("path_not_canonical", Duration.ZERO)
        atMost?.let { call.timeout().timeout(it.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS) }
        exchange.attach(call)
        val expectedVersion = forwarded.generation?.expectedVersion
        return relocatable(endpoint, call, mayRelocate) { judge(endpoint, call, expectedVersion, onAnswer) }
    }

    private fun relocatable(
        endpoint: RegisteredEndpoint,
        call: Call,
        mayRelocate: (() -> Boolean)?,
        send: () -> Verdict,
    ): Verdict {
        val sentAt = exchange.elapsed()
        val tokens = exchange.caller.expectedOutputTokens ?: exchange.caller.maxOutputTokens
        val stream = mayRelocate?.let { state.streams.begin(tokens, it, call::cancel) }
        val ended = stream?.let { state.streams.add(endpoint.id, it) }.use { send() }
        val isRelocated = ended is Verdict.Lost && stream?.isRelocated == true && exchange.cut == null
        val verdict = if (isRelocated) Verdict.Relocated else ended
        val time = exchange.elapsed() - sentAt
        if (stream != null && verdict is Verdict.Answered) state.streams.ended(tokens, time)
        record(endpoint, verdict, time)
        log(endpoint, verdict)
        return verdict
    }

    private fun judge(
        endpoint: RegisteredEndpoint,
        call: Call,
        expectedVersion: Int?,
        onAnswer: () -> Unit,
    ): Verdict =
        when (val result = calls.client.send(call)) {
            is SendResult.NotSent -> Verdict.NotRun(result.cause, arrived = false)
            is SendResult.Lost -> Verdict.Lost(result.cause)
            is SendResult.Answered -> result.response.use { response ->
                val meta = EndpointAnswer.decode(response.code) { response.header(it) }
                learn(endpoint, meta)
                if (meta.notExecuted) {
                    notExecuted(endpoint, response.code, meta, expectedVersion)
                } else {
                    relay.relay(response, meta, onAnswer)
                }
            }
        }

    private fun record(endpoint: RegisteredEndpoint, verdict: Verdict, time: Duration) {
        val load = state.loads.of(endpoint.id)
        when {
            exchange.cut != null && time < patience(endpoint) -> Unit
            verdict is Verdict.Relocated || verdict is Verdict.NotRun && verdict.arrived -> Unit
            verdict.unreachable -> if (load.health.recordFailure()) {
                calls.log.write("endpoint_ejected", "endpoint" to endpoint.id, "service" to endpoint.service)
            }
            else -> load.health.recordAnswer(error = verdict is Verdict.Failed)
        }
        if (verdict is Verdict.Answered && exchange.caller.model == null) load.recordServiceTime(time)
    }

    // A call that ends sooner than this, because its caller's time is up, says nothing about the endpoint.
    private fun patience(endpoint: RegisteredEndpoint): Duration = if (exchange.caller.model != null) {
        GENERATION_PATIENCE
    } else {
        maxOf(SHORTEST_PATIENCE, state.loads.of(endpoint.id).averageServiceTime * PATIENCE_FACTOR)
    }

    private fun learn(endpoint: RegisteredEndpoint, meta: EndpointAnswer) {
        val model = exchange.caller.model ?: return
        val same = meta.endpointId == null || meta.endpointId == endpoint.id
        meta.weightsVersion?.takeIf { same }?.let { state.loads.of(endpoint.id).recordWeightsVersion(model, it) }
    }

    // Other weights than expected, or none while they are being changed: the replica's report tells.
    private fun notExecuted(
        endpoint: RegisteredEndpoint,
        status: Int,
        meta: EndpointAnswer,
        expectedVersion: Int?,
    ): Verdict {
        val load = state.loads.of(endpoint.id)
        if (exchange.caller.model != null && status == MISDIRECTED && meta.weightsVersion == null) {
            calls.replicas.report(endpoint.address, REPORT_TIMEOUT).onRight { report ->
                report.versions.forEach { (model, version) -> load.recordWeightsVersion(model, version) }
            }
        }
        if (exchange.caller.model != null && status == UNAVAILABLE) load.recordWeightChangeStart(FULL_HOLDS)
        // Neither the answer nor the report tells of other weights than expected: another start has the address now.
        val sameVersion = exchange.caller.model?.let(load::version) == expectedVersion
        if (status == MISDIRECTED && sameVersion && load.health.recordReplacement()) {
            calls.log.write("endpoint_replaced", "endpoint" to endpoint.id, "address" to endpoint.address)
        }
        return Verdict.NotRun("status_$status", arrived = true)
    }

    private fun log(endpoint: RegisteredEndpoint, verdict: Verdict) {
        val (outcome, reason) = when (verdict) {
            is Verdict.NotRun -> "not_run" to verdict.reason
            is Verdict.Lost -> "lost" to verdict.reason
            is Verdict.Relocated -> "relocated" to null
            is Verdict.Failed -> "failed" to "status_${verdict.answer.status}"
            else -> "answered" to null
        }
        calls.metrics.recordSend(endpoint.service, outcome)
        calls.log.write(
            "request_sent",
            "id" to exchange.caller.attemptId,
            "endpoint" to endpoint.id,
            "outcome" to outcome,
            "reason" to reason,
            "ms" to exchange.elapsed().inWholeMilliseconds,
        )
    }

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        val REPORT_TIMEOUT = 200.milliseconds

        // A replica that is full or changes its weights gets other work only after this time.
        val FULL_HOLDS = 250.milliseconds
        val GENERATION_PATIENCE = 2.seconds
        val SHORTEST_PATIENCE = 200.milliseconds
        const val PATIENCE_FACTOR = 8

        // Callers give up a stream after a gap of two seconds or more. A full replica may take nearly that long.
        val STREAM_SILENCE = 2.8.seconds
    }
}
