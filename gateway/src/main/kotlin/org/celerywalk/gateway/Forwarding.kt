package org.celerywalk.gateway

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.platform.wire.ForwardedGeneration
import org.celerywalk.platform.wire.ForwardedRequest
import org.celerywalk.route.RequestKind
import org.celerywalk.route.selectService
import org.celerywalk.routing.EndpointWork
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends one admitted request to endpoints until one answers it, as often as its route allows. */
internal class Forwarding(
    private val exchange: CallerExchange,
    private val admitted: AdmittedRequest,
    private val allowed: Duration,
    private val parts: ForwardingParts,
) {
    private val route = admitted.route
    private val service = route.selectService(parts.random)
    private val budget = parts.state.retryBudgetOf(service)
    private val tried = mutableListOf<String>()
    private val relay = AnswerRelay(exchange, route)
    private val sender = EndpointSend(exchange, route, admitted.body, relay, parts.state, parts.calls)
    private var runs = 0
    private var failure: WholeEndpointAnswer? = null

    private val begun: Boolean get() = exchange.answer.committed
    private val maxSends: Int get() = if (begun) MAX_SENDS_OF_BEGUN else MAX_SENDS

    // Takes a repeated send from the budget; null if the answer can't go on at another endpoint.
    private val mayRelocate: (() -> Boolean)?
        get() = budget::tryOptionalRetry.takeIf {
            route.kind == RequestKind.STREAMING && route.isResumable && runs + 1 < route.maxAttempts
        }

    /** Endpoints that the request was sent to, in order. */
    val endpoints: List<String> get() = tried

    /** Serves the request and returns the name of its outcome. */
    fun run(): String {
        budget.recordRequest()
        var verdict = attempt()
        while (goesOn(verdict)) verdict = attempt()
        if (runs == 0) admitted.refund()
        return finish(verdict)
    }

    private fun timeLeft(): Duration = allowed - exchange.elapsed()

    private fun goesOn(verdict: Verdict): Boolean {
        if (exchange.cut != null || timeLeft() <= SHORTEST_SEND) return false
        return when (verdict) {
            is Verdict.NotRun -> tried.size < maxSends && (!verdict.arrived || budget.tryRetry())
            is Verdict.Relocated -> true
            is Verdict.Lost, is Verdict.Failed -> route.isRetryable && runs < route.maxAttempts && budget.tryRetry()
            else -> false
        }
    }

    private fun attempt(): Verdict {
        val serving = parts.state.directory.serving(service)
        // A stream that has begun asks once more where it was refused, rather than end in the middle.
        val candidates = serving.filter { it.id !in tried }.ifEmpty { if (begun) serving else emptyList() }
        val engine = admitted.activeConfiguration.configuration.services[service]?.engine
        return when {
            exchange.cut != null -> Verdict.Cut
            engine == null || exchange.caller.model == null -> sendToService(candidates)
            else -> sendToReplica(candidates)
        }
    }

    private fun sendToReplica(candidates: List<RegisteredEndpoint>): Verdict =
        when (val choice = parts.choosers.generations.place(exchange, admitted, service, candidates, timeLeft())) {
            is GenerationChoice.Placed -> choice.tracked.use { send(choice.endpoint, choice.forwarded, it::answering) }
            is GenerationChoice.Refused -> Verdict.Unplaced(choice.reason, choice.retryAfter)
        }

    private fun sendToService(candidates: List<RegisteredEndpoint>): Verdict {
        val endpoint = parts.choosers.services.choose(candidates)
        val expected = endpoint?.let(parts.choosers.services::expectedAnswer)
        return when {
            endpoint == null || expected == null -> Verdict.Unplaced("no_endpoint", RETRY_SOON)
            expected > timeLeft() -> Verdict.Unplaced("overloaded", expected / 2)
            else -> TrackedWork(parts.state.loads.of(endpoint.id), CALL).use { send(endpoint, null) {} }
        }
    }

    private fun send(endpoint: RegisteredEndpoint, generation: ForwardedGeneration?, onAnswer: () -> Unit): Verdict {
        tried += endpoint.id
        val forwarded = ForwardedRequest(
            endpointId = endpoint.id,
            timeLeft = (timeLeft() - RETURN_TIME).coerceAtLeast(1.milliseconds),
            account = admitted.account?.name,
            lastEventId = relay.lastEventId ?: exchange.caller.lastEventId.takeIf { route.isResumable },
            generation = generation,
        )
        // Part of the time is kept for another endpoint, where the request may run again.
        val another = route.kind == RequestKind.IDEMPOTENT && runs + 1 < route.maxAttempts
        val verdict = sender.send(endpoint, forwarded, (timeLeft() / 2).takeIf { another }, mayRelocate, onAnswer)
        if (verdict.mayHaveRun) runs++
        if (verdict is Verdict.Failed) failure = verdict.answer
        return verdict
    }

    private fun finish(verdict: Verdict): String {
        val answer = exchange.answer
        val failed = failure
        return when {
            verdict is Verdict.Answered -> "answered"
            exchange.cut == Cut.CALLER_LEFT -> "caller_left".also { answer.abort() }
            answer.committed -> "broken_off".also { answer.abort() }
            failed != null -> "failed".also { relay.write(failed) }
            exchange.cut == Cut.TIME_IS_UP -> timeIsUp()
            runs > 0 -> "lost".also { answer.refuse(BAD_GATEWAY, "endpoint_lost", null) }
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
        const val UNAVAILABLE = 503
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val CALL = EndpointWork(calls = 1)

        // Refusals by endpoints draw on a budget of all gateways.
        const val MAX_SENDS = 4
        const val MAX_SENDS_OF_BEGUN = 12
        val SHORTEST_SEND = 15.milliseconds
        val RETRY_SOON = 300.milliseconds
        val RETURN_TIME = 5.milliseconds
    }
}
