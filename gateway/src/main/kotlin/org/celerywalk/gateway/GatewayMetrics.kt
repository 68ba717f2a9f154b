package org.celerywalk.gateway

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Metrics of a gateway. The labels are route, service and outcome, whose number of values the configuration limits.
 *
 * Creating the Prometheus registry takes a considerable part of the start-up time, so the counters don't depend on it
 * and the first scrape creates it.
 */
public class GatewayMetrics {
    private data class Series(val name: String, val tags: List<String>)

    private val counters = ConcurrentHashMap<Series, LongAdder>()
    private val gauges = ConcurrentHashMap<String, () -> Number>()
    private val labelledGauges = ConcurrentHashMap<Series, () -> Map<String, Number>>()
    private val multiGauges = HashMap<Series, MultiGauge>()
    private val registeredMeters = ConcurrentHashMap.newKeySet<Any>()
    private val registry by lazy { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }

    /** Records the final outcome of a request and its [latency]. */
    public fun recordRequest(route: String, outcome: String, latency: Duration) {
        incrementCounter("celerywalk.requests", "route", route, "outcome", outcome)
        val bucket = LATENCY_BUCKETS.firstOrNull { latency <= it }?.inWholeMilliseconds?.toString() ?: "more"
        incrementCounter("celerywalk.request.time", "route", route, "up.to.ms", bucket)
    }

    /** Records an attempt at an endpoint of [service] and its outcome. */
    public fun recordSend(service: String, outcome: String): Unit =
        incrementCounter("celerywalk.sends", "service", service, "outcome", outcome)

    /** Records a call to the platform's store. */
    public fun recordStoreCall(step: String): Unit = incrementCounter("celerywalk.store.calls", "step", step)

    /** Records a message of [bytes] bytes between gateways; [direction] is `sent` or `received`. */
    public fun recordPeerMessage(direction: String, bytes: Int) {
        incrementCounter("celerywalk.peer.messages", "direction", direction)
        incrementCounter("celerywalk.peer.bytes", "direction", direction, by = bytes.toLong())
    }

    /** Records a response that was cut off because its caller left it unread. */
    public fun recordUnreadResponse(): Unit = incrementCounter("celerywalk.responses.unread")

    /** Records a poll of the cache events of one holder. */
    public fun recordCachePoll(): Unit = incrementCounter("celerywalk.cache.polls")

    /** Registers gauge [name]; [value] is called at each scrape. */
    public fun registerGauge(name: String, value: () -> Number) {
        gauges[name] = value
    }

    /** Registers one gauge [name] for each value of [label]; [values] is called at each scrape. */
    public fun registerGauges(name: String, label: String, values: () -> Map<String, Number>) {
        labelledGauges[Series(name, listOf(label))] = values
    }

    /** Returns all metrics in the Prometheus text format. */
    @Synchronized
    public fun scrape(): String {
        gauges.forEach { (name, value) ->
            if (registeredMeters.add(name)) Gauge.builder(name) { value().toDouble() }.register(registry)
        }
        labelledGauges.forEach { (series, values) ->
            val label = series.tags.single()
            val rows = values().map { (value, number) -> MultiGauge.Row.of(Tags.of(label, value), number) }
            multiGauges.getOrPut(series) { MultiGauge.builder(series.name).register(registry) }.register(rows, true)
        }
        counters.forEach { (series, adder) ->
            if (registeredMeters.add(series)) {
                val counter = FunctionCounter.builder(series.name, adder) { it.sum().toDouble() }
                series.tags.chunked(2).forEach { (key, value) -> counter.tag(key, value) }
                counter.register(registry)
            }
        }
        return registry.scrape()
    }

    /** Adds [by] to the counter [name] with [tags], which are pairs of a label and its value. */
    internal fun incrementCounter(name: String, vararg tags: String, by: Long = 1) {
        counters.computeIfAbsent(Series(name, tags.asList())) { LongAdder() }.add(by)
    }

    private companion object {
        // The upper bounds surround the latency targets of plain services, of first tokens and of complete responses.
        val LATENCY_BUCKETS = listOf(25, 50, 100, 200, 400, 600, 1_000, 2_000, 6_000).map { it.milliseconds }
    }
}

/** Records that a call to [service] was refused because its endpoints had no room. */
internal fun GatewayMetrics.recordCallRefusal(service: String, reason: String) =
    incrementCounter("celerywalk.call.refusals", "service", service, "reason", reason)

/** Records an [event] of the admission to the replicas of [service]. */
internal fun GatewayMetrics.recordAdmission(service: String, event: String) =
    incrementCounter("celerywalk.admission", "service", service, "event", event)
