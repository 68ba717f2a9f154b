package org.celerywalk.gateway

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Counts what a gateway does. Labels are route, outcome and status, whose values are bounded by the configuration. */
public class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = ConcurrentHashMap<String, Counter>()
    private val latencies = ConcurrentHashMap<String, Timer>()
    private val sends = ConcurrentHashMap<String, Counter>()

    /** Records the final outcome of a request after [time]. */
    public fun answered(route: String, outcome: String, time: Duration) {
        requests.computeIfAbsent("$route $outcome") {
            Counter.builder("celerywalk.requests").tag("route", route).tag("outcome", outcome).register(registry)
        }.increment()
        latencies.computeIfAbsent(route) {
            Timer.builder("celerywalk.request.time").tag("route", route)
                .serviceLevelObjectives(*BUCKETS.map { it.toJavaDuration() }.toTypedArray()).register(registry)
        }.record(time.toJavaDuration())
    }

    /** Records a send to an endpoint of [service] and its outcome. */
    public fun sent(service: String, outcome: String) {
        sends.computeIfAbsent("$service $outcome") {
            Counter.builder("celerywalk.sends").tag("service", service).tag("outcome", outcome).register(registry)
        }.increment()
    }

    /** Registers a value that is read whenever the metrics are fetched. */
    public fun gauge(name: String, value: () -> Number) {
        io.micrometer.core.instrument.Gauge.builder(name) { value().toDouble() }.register(registry)
    }

    /** Returns all metrics as text. */
    public fun scrape(): String = registry.scrape()

    private companion object {
        val BUCKETS = listOf(50, 100, 200, 400, 600, 1_000, 2_000, 6_000).map { Duration.parse("${it}ms") }
    }
}
