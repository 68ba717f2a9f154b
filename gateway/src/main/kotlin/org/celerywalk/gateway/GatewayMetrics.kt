package org.celerywalk.gateway

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Counts what a gateway does. Labels are route, service and outcome, whose values are bounded by the configuration.
 *
 * Counting needs no registry, which takes a good part of the start; the first scrape creates it.
 */
public class GatewayMetrics {
    private data class Series(val name: String, val tags: List<String>)

    private val counters = ConcurrentHashMap<Series, LongAdder>()
    private val gauges = ConcurrentHashMap<String, () -> Number>()
    private val registered = ConcurrentHashMap.newKeySet<Any>()
    private val registry by lazy { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }

    /** Records the final outcome of a request after [time]. */
    public fun answered(route: String, outcome: String, time: Duration) {
        count("celerywalk.requests", "route", route, "outcome", outcome)
        val bucket = BUCKETS.firstOrNull { time <= it }?.inWholeMilliseconds?.toString() ?: "more"
        count("celerywalk.request.time", "route", route, "up.to.ms", bucket)
    }

    /** Records a send to an endpoint of [service] and its outcome. */
    public fun sent(service: String, outcome: String): Unit =
        count("celerywalk.sends", "service", service, "outcome", outcome)

    /** Records a call to the platform's store. */
    public fun storeCalled(step: String): Unit = count("celerywalk.store.calls", "step", step)

    /** Registers a value that is read whenever the metrics are fetched. */
    public fun gauge(name: String, value: () -> Number) {
        gauges[name] = value
    }

    /** Returns all metrics as text. */
    @Synchronized
    public fun scrape(): String {
        gauges.forEach { (name, value) ->
            if (registered.add(name)) Gauge.builder(name) { value().toDouble() }.register(registry)
        }
        counters.forEach { (series, adder) ->
            if (registered.add(series)) {
                val counter = FunctionCounter.builder(series.name, adder) { it.sum().toDouble() }
                series.tags.chunked(2).forEach { (key, value) -> counter.tag(key, value) }
                counter.register(registry)
            }
        }
        return registry.scrape()
    }

    private fun count(name: String, vararg tags: String) {
        counters.computeIfAbsent(Series(name, tags.asList())) { LongAdder() }.increment()
    }

    private companion object {
        // Around the latency targets of plain services, first tokens and whole answers.
        val BUCKETS = listOf(25, 50, 100, 200, 400, 600, 1_000, 2_000, 6_000).map { it.milliseconds }
    }
}
