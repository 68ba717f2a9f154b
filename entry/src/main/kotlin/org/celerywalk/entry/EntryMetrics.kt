package org.celerywalk.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.celerywalk.entry.chat.Generation
import org.celerywalk.entry.chat.RelayEnd
import org.celerywalk.entry.chat.RelayObserver
import org.celerywalk.entry.chat.SelectedReplica
import org.celerywalk.entry.chat.Usage
import org.celerywalk.entry.http.Problem
import org.tinylog.kotlin.Logger
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Records metrics and writes log lines, listed in docs/OPERATIONS.md. Neither contains a key or prompt text. */
internal class EntryMetrics : RelayObserver {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    fun registerGauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    fun recordRefusal(requestId: String, clientAccount: String?, problem: Problem) {
        incrementCounter("celerywalk.refusals", "code", problem.code, "execution", problem.execution.wireName)
        Logger.info(
            "event=refused request={} account={} code={} execution={}",
            requestId,
            clientAccount ?: "-",
            problem.code,
            problem.execution.wireName,
        )
    }

    override fun onAttempt(generation: Generation, target: SelectedReplica, resumeOffset: Int) {
        incrementCounter("celerywalk.attempts", "kind", if (resumeOffset > 0) "resume" else "start")
        Logger.info(
            "event=attempt request={} account={} endpoint={} replica={} offset={}",
            generation.requestId,
            generation.caller.clientAccount,
            target.replica.endpoint,
            target.replica.replica,
            resumeOffset,
        )
    }

    override fun onEngineCrash(generation: Generation, target: SelectedReplica, quarantinedParts: Int) {
        incrementCounter("celerywalk.engine.crashes", "model", generation.model.name)
        Logger.warn(
            "event=engine_crashed request={} account={} endpoint={} replica={} quarantined_parts={}",
            generation.requestId,
            generation.caller.clientAccount,
            target.replica.endpoint,
            target.replica.replica,
            quarantinedParts,
        )
    }

    override fun onFirstToken(generation: Generation, elapsed: Duration) {
        Timer.builder("celerywalk.first.token")
            .tag("model", generation.model.name)
            .publishPercentileHistogram()
            .register(registry)
            .record(elapsed.toJavaDuration())
    }

    override fun onEnd(generation: Generation, relayEnd: RelayEnd, usage: Usage, elapsed: Duration) {
        val model = generation.model.name
        incrementCounter("celerywalk.streams", "model", model, "end", relayEnd.name.lowercase())
        counter("celerywalk.prompt.tokens", "model", model).increment(usage.promptTokens.toDouble())
        counter("celerywalk.cached.tokens", "model", model).increment(usage.cachedTokens.toDouble())
        counter("celerywalk.generated.tokens", "model", model).increment(usage.completionTokens.toDouble())
        Logger.info(
            "event=stream_ended request={} account={} end={} prompt_tokens={} cached_tokens={} tokens={} millis={}",
            generation.requestId,
            generation.caller.clientAccount,
            relayEnd.name.lowercase(),
            usage.promptTokens,
            usage.cachedTokens,
            usage.completionTokens,
            elapsed.inWholeMilliseconds,
        )
    }

    fun incrementCounter(name: String, amount: Int) = counter(name).increment(amount.toDouble())

    private fun incrementCounter(name: String, vararg tags: String) = counter(name, *tags).increment()

    private fun counter(name: String, vararg tags: String): Counter =
        Counter.builder(name).tags(*tags).register(registry)
}
