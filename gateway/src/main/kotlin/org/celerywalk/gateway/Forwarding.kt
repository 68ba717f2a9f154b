package org.celerywalk.gateway

import okhttp3.Call
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.EndpointAnswer
import org.celerywalk.platform.wire.ForwardedHeaders
import org.celerywalk.platform.wire.ForwardedRequest
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.route.RequestKind
import org.celerywalk.route.drawService
import org.celerywalk.routing.ServiceEndpointChooser
import org.celerywalk.routing.Work
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Holds what all forwarded requests share. */
internal class ForwardingParts(
    val state: FleetState,
    val client: EndpointClient,
    val replicas: ReplicaCalls,
    val generations: GenerationPlacement,
    val services: ServiceEndpointChooser,
    val log: EventLog,
    val metrics: GatewayMetrics,
    val random: Random,
)

/** Says how a send to an endpoint ended. */
internal sealed interface Verdict {
    /** The answer was passed on to its end. */
    data object Answered : Verdict

    /** The request has not run at this endpoint; [arrived] is false if nothing was sent. */
    data class NotRun(val reason: String, val arrived: Boolean) : Verdict

    /** The request may have run; an answer, if any, is not whole. */
    data class Lost(val reason: String) : Verdict

    /** The endpoint ran the request and reports an error. */
    class Failed(val answer: WholeEndpointAnswer) : Verdict

    /** No endpoint can serve the request in time. */
    data class Unplaced(val reason: String, val retryAfter: Duration) : Verdict

    /** The request ended before. */
    data object Cut : Verdict
}

/** Sends one admitted request to endpoints until one answers it, as often as its route allows. */
internal class Forwarding(
    private val exchange: CallerExchange,
    private val admitted: AdmittedRequest,
    private val allowed: Duration,
    private val parts: ForwardingParts,
) {
    private val route = admitted.route
    private val service = route.drawService(parts.random)
    private val budget = parts.state.budgetOf(service)
    private val tried = mutableListOf<String>()
    private val relay = AnswerRelay(exchange, route)
    private var runs = 0
    private var fallback: WholeEndpointAnswer? = null

    /** Endpoints that the request was sent to, in order. */
    val endpoints: List<String> get() = tried

    /** Serves the request and returns the name of its outcome. */
    fun run(): String {
        budget.requested()
        var verdict = attempt()
        while (goesOn(verdict)) verdict = attempt()
        return finish(verdict)
    }

    private fun timeLeft(): Duration = allowed - exchange.elapsed()

    private fun goesOn(verdict: Verdict): Boolean = exchange.cut == null && timeLeft() > SHORTEST_SEND && when (verdict) {
        is Verdict.NotRun -> tried.size < MAX_SENDS && (!verdict.arrived || budget.tryRepeat())
        is Verdict.Lost, is Verdict.Failed -> route.repeatable && runs < route.maxAttempts && budget.tryRepeat()
        else -> false
    }

    private fun attempt(): Verdict {
        if (exchange.cut != null) return Verdict.Cut
        val candidates = parts.state.directory.serving(service).filter { it.id !in tried }
        val engine = admitted.active.configuration.services[service]?.engine
        if (engine == null || exchange.caller.model == null) return sendToService(candidates)
        return when (val choice = parts.generations.place(exchange, admitted, service, candidates, timeLeft())) {
            is GenerationChoice.Placed -> choice.tracked.use {
                send(choice.endpoint, it::answering) { exchange.forwarded(choice.endpoint, choice) }
            }
            is GenerationChoice.Refused -> Verdict.Unplaced(choice.reason, choice.retryAfter)
        }
    }

    private fun sendToService(candidates: List<RegisteredEndpoint>): Verdict {
        val endpoint = parts.services.choose(candidates) ?: return Verdict.Unplaced("no_endpoint", RETRY_SOON)
        val expected = parts.services.expectedAnswer(endpoint)
        if (expected > timeLeft()) return Verdict.Unplaced("overloaded", expected / 2)
        val load = parts.state.loads.of(endpoint.id)
        load.add(CALL)
        val sentAt = exchange.elapsed()
        return try {
            send(endpoint, {}) { exchange.forwarded(endpoint, null) }.also {
                if (it is Verdict.Answered) load.answeredAfter(exchange.elapsed() - sentAt)
            }
        } finally {
            load.remove(CALL)
        }
    }

    private fun CallerExchange.forwarded(endpoint: RegisteredEndpoint, choice: GenerationChoice.Placed?) =
        ForwardedRequest(
            endpointId = endpoint.id,
            timeLeft = (timeLeft() - RETURN_TIME).coerceAtLeast(1.milliseconds),
            account = admitted.account?.name,
            lastEventId = relay.lastEventId ?: caller.lastEventId.takeIf { route.resumable },
            generation = choice?.forwarded,
        )

    private fun send(endpoint: RegisteredEndpoint, onAnswer: () -> Unit, forwarded: () -> ForwardedRequest): Verdict {
        tried += endpoint.id
        val request = EndpointRequest(
            exchange.method,
            exchange.target,
            ForwardedHeaders.encode(exchange.headers, forwarded()),
            admitted.body,
        )
        val silence = STREAM_SILENCE.takeIf { route.kind == RequestKind.STREAMING && route.repeatable }
        val call = parts.client.prepare(endpoint.address, request, silence)
            ?: return Verdict.Unplaced("path_not_canonical", RETRY_SOON)
        if (route.kind == RequestKind.IDEMPOTENT && runs + 1 < route.maxAttempts) {
            call.timeout().timeout((timeLeft() / 2).inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
        }
        exchange.attach(call)
        val verdict = judge(endpoint, call, onAnswer)
        log(endpoint, verdict)
        return verdict
    }

    private fun judge(endpoint: RegisteredEndpoint, call: Call, onAnswer: () -> Unit): Verdict {
        val health = parts.state.loads.of(endpoint.id).health
        val sentAt = exchange.elapsed()
        val verdict = when (val result = parts.client.send(call)) {
            is SendResult.NotSent -> Verdict.NotRun(result.cause, arrived = false)
            is SendResult.Lost -> Verdict.Lost(result.cause)
            is SendResult.Answered -> result.response.use { response ->
                val meta = EndpointAnswer.decode(response.code) { response.header(it) }
                learn(endpoint, meta)
                if (meta.notExecuted) notExecuted(endpoint, response.code, meta) else relay.relay(response, meta, onAnswer)
            }
        }
        if (verdict is Verdict.Lost || verdict is Verdict.Failed || verdict is Verdict.Answered) runs++
        when {
            exchange.cut != null && exchange.elapsed() - sentAt < patience(endpoint) -> Unit
            verdict is Verdict.Lost || (verdict is Verdict.NotRun && !verdict.arrived) -> {
                if (health.failed()) parts.log.write("endpoint_ejected", "endpoint" to endpoint.id, "service" to service)
            }
            else -> health.answered(error = verdict is Verdict.Failed)
        }
        return verdict
    }

    // A call that ends sooner than this, because its caller's time is up, says nothing about the endpoint.
    private fun patience(endpoint: RegisteredEndpoint): Duration = if (exchange.caller.model != null) {
        GENERATION_PATIENCE
    } else {
        maxOf(SHORTEST_PATIENCE, parts.state.loads.of(endpoint.id).averageServiceTime * PATIENCE_FACTOR)
    }

    private fun learn(endpoint: RegisteredEndpoint, meta: EndpointAnswer) {
        val model = exchange.caller.model
        val version = meta.weightsVersion
        if (model != null && version != null && (meta.endpointId == null || meta.endpointId == endpoint.id)) {
            parts.state.loads.of(endpoint.id).sawVersion(model, version)
        }
    }

    // Other weights than expected, or none while they are being changed: the replica's report tells.
    private fun notExecuted(endpoint: RegisteredEndpoint, status: Int, meta: EndpointAnswer): Verdict {
        val load = parts.state.loads.of(endpoint.id)
        if (status == MISDIRECTED && meta.weightsVersion == null && exchange.caller.model != null) {
            parts.replicas.report(endpoint.address, REPORT_TIMEOUT).onRight { report ->
                report.versions.forEach { (model, version) -> load.sawVersion(model, version) }
            }
        }
        if (status == UNAVAILABLE && exchange.caller.model != null) load.startedWeightChange(FULL_HOLDS)
        return Verdict.NotRun("status_$status", arrived = true)
    }

    private fun log(endpoint: RegisteredEndpoint, verdict: Verdict) {
        val outcome = when (verdict) {
            is Verdict.NotRun -> "not_run"
            is Verdict.Lost -> "lost"
            is Verdict.Failed -> "failed"
            else -> "answered"
        }
        parts.metrics.sent(service, outcome)
        val reason = (verdict as? Verdict.NotRun)?.reason ?: (verdict as? Verdict.Lost)?.reason
        parts.log.write(
            "request_sent",
            "id" to exchange.caller.attemptId,
            "endpoint" to endpoint.id,
            "outcome" to outcome,
            "reason" to reason,
            "send" to tried.size,
            "ms" to exchange.elapsed().inWholeMilliseconds,
        )
    }

    private fun finish(verdict: Verdict): String {
        val answer = (verdict as? Verdict.Failed)?.answer ?: fallback
        if (runs == 0) admitted.refund()
        return when {
            verdict is Verdict.Answered -> "answered"
            exchange.cut == Cut.CALLER_LEFT -> "caller_left".also { exchange.answer.abort() }
            exchange.answer.committed -> "broken_off".also { exchange.answer.abort() }
            answer != null -> "failed".also { relay.write(answer) }
            exchange.cut == Cut.TIME_IS_UP -> timeIsUp()
            runs > 0 -> "lost".also { exchange.answer.refuse(BAD_GATEWAY, "endpoint_lost", null) }
            else -> refused(verdict)
        }
    }

    private fun timeIsUp(): String {
        if (runs > 0) {
            exchange.answer.refuse(GATEWAY_TIMEOUT, "timeout", null)
        } else {
            exchange.answer.refuse(UNAVAILABLE, "timeout_before_start", null)
        }
        return "timeout"
    }

    private fun refused(verdict: Verdict): String {
        val unplaced = verdict as? Verdict.Unplaced
        val reason = unplaced?.reason ?: (verdict as? Verdict.NotRun)?.reason ?: "not_run"
        exchange.answer.refuse(UNAVAILABLE, reason, unplaced?.retryAfter ?: RETRY_SOON)
        return reason
    }

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val CALL = Work(calls = 1)

        // Refusals by endpoints draw on a budget of all gateways.
        const val MAX_SENDS = 4
        val SHORTEST_SEND = 15.milliseconds
        val RETRY_SOON = 300.milliseconds
        val RETURN_TIME = 5.milliseconds
        val REPORT_TIMEOUT = 200.milliseconds

        // A replica that is full or changes its weights gets other work only after this time.
        val FULL_HOLDS = 250.milliseconds

        val GENERATION_PATIENCE = 2.seconds
        val SHORTEST_PATIENCE = 200.milliseconds
        const val PATIENCE_FACTOR = 8

        // Callers give up a stream after a gap of two seconds.
        val STREAM_SILENCE = 1.5.seconds
    }
}
