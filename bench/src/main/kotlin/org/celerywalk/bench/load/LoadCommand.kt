package org.celerywalk.bench.load

import com.fasterxml.jackson.databind.ObjectMapper
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.HdrHistogram.Histogram
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Sends load to an entry and, for comparison, to an engine; see docs/measurements.md. */
public fun main(arguments: Array<String>): Unit = LoadCommand().main(arguments)

/**
 * Sends the same load to an entry and directly to an engine and reports the latencies of both.
 *
 * Each prompt is sent to both in direct succession, so that other load on the machine affects both equally.
 */
internal class LoadCommand : CliktCommand(name = "load") {
    private val entry by option(help = "base URL of the entry").required()
    private val key by option(help = "key of a client account").required()
    private val model by option(help = "model").default("demo")
    private val engine by option(help = "base URL of an engine stand-in for comparison")
    private val weights by option(help = "weights of the engine").default("1")
    private val rate by option(help = "requests per second to each target").int().default(DEFAULT_REQUESTS_PER_SECOND)
    private val durationSeconds by option("--seconds", help = "duration in seconds").int().default(DEFAULT_SECONDS)
    private val prefixTokens by option(help = "length of a shared prefix in tokens").int()
        .default(DEFAULT_PREFIX_TOKENS)
    private val prefixes by option(help = "number of shared prefixes").int().default(DEFAULT_PREFIX_COUNT)
    private val suffixTokens by option(help = "length of the unique suffix in tokens").int()
        .default(DEFAULT_SUFFIX_TOKENS)
    private val maxTokens by option(help = "tokens of each answer").int().default(DEFAULT_ANSWER_TOKENS)
    private val seed by option(help = "seed of the prompts").long().default(1)
    private val processes by option("--process", help = "name=pid of a process to observe").associate()

    override fun help(context: Context): String = "Measures the latency that an entry adds to an engine."

    override fun run() {
        val plan = LoadPlan(rate, durationSeconds.seconds, prefixTokens, prefixes, suffixTokens, maxTokens, seed)
        val targets = listOfNotNull(EntryTarget(entry, key, model), engine?.let { EngineTarget(it, weights) })
        val clients = targets.associate { it.name to LoadClient(it) }
        val usages = processes.map { (name, pid) -> ProcessUsage(name, pid.toLong()) }
        val startTime = TimeSource.Monotonic.markNow()
        val peakMegabytes = sendRequests(plan, clients.values.toList(), usages)
        val report = mapOf(
            "plan" to mapOf(
                "requests_per_second" to rate,
                "seconds" to durationSeconds,
                "prompt_tokens" to prefixTokens + suffixTokens,
                "max_tokens" to maxTokens,
                "seed" to seed,
            ),
            "targets" to clients.mapValues { (_, client) -> latencyReport(client.times) },
            "processes" to usages.associate {
                it.name to usageReport(it, peakMegabytes.getValue(it.name), startTime.elapsedNow())
            },
        )
        echo(ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report))
    }

    /** Sends all requests, waits for their streams and returns the peak resident memory of each process in MB. */
    private fun sendRequests(
        plan: LoadPlan,
        clients: List<LoadClient>,
        usages: List<ProcessUsage>,
    ): Map<String, Double> {
        val timer = Executors.newScheduledThreadPool(1)
        val streams = mutableListOf<CompletableFuture<Unit>>()
        val peakMegabytes = usages.associate { it.name to 0.0 }.toMutableMap()
        var nextRequestNumber = 0
        val allSent = CompletableFuture<Unit>()
        val sendNext = Runnable {
            if (nextRequestNumber < plan.requestCount) {
                val prompt = plan.prompt(nextRequestNumber++)
                clients.forEach { streams += it.send(prompt, plan.maxTokens) }
            } else {
                allSent.complete(Unit)
            }
            if (nextRequestNumber % plan.requestsPerSecond == 0) {
                usages.forEach {
                    peakMegabytes[it.name] = maxOf(peakMegabytes.getValue(it.name), it.residentMegabytes)
                }
            }
        }
        timer.scheduleAtFixedRate(sendNext, 0, NANOS_PER_SECOND / plan.requestsPerSecond, TimeUnit.NANOSECONDS)
        allSent.get()
        timer.shutdown()
        awaitStreamEnds(streams)
        return peakMegabytes
    }

    /** Waits for at most [STREAM_END_TIMEOUT]. Streams still open after that count as neither completed nor failed. */
    private fun awaitStreamEnds(streams: List<CompletableFuture<Unit>>) {
        val allStreams = streams.reduceOrNull { first, next -> first.thenCombine(next) { _, _ -> } } ?: return
        try {
            allStreams.get(STREAM_END_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
        } catch (_: TimeoutException) {
            echo(
                "${streams.count { !it.isDone }} streams were still open $STREAM_END_TIMEOUT after the last request",
                err = true,
            )
        }
    }

    private fun latencyReport(times: StreamTimes) = mapOf(
        "completed" to times.completedStreams.get(),
        "failed" to times.failedStreams.get(),
        "token_events" to times.tokenEvents.get(),
        "most_open_streams" to times.maxOpenStreams,
        "first_token_ms" to percentiles(times.firstTokenMicros),
        "between_tokens_ms" to percentiles(times.interTokenMicros),
    )

    private fun percentiles(histogram: Histogram) = listOf("p50" to P50, "p95" to P95, "p99" to P99)
        .associate { (name, percentile) -> name to histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI }

    private fun usageReport(process: ProcessUsage, peakMegabytes: Double, elapsed: Duration) = mapOf(
        "cpu_share_of_a_core" to process.cpuSeconds / elapsed.inWholeMilliseconds * MILLIS_PER_SECOND,
        "peak_resident_mb" to peakMegabytes,
    )

    private companion object {
        const val DEFAULT_REQUESTS_PER_SECOND = 20
        const val DEFAULT_SECONDS = 10
        const val DEFAULT_PREFIX_TOKENS = 4000
        const val DEFAULT_PREFIX_COUNT = 4
        const val DEFAULT_SUFFIX_TOKENS = 40
        const val DEFAULT_ANSWER_TOKENS = 50
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val MICROS_PER_MILLI = 1000.0
        const val MILLIS_PER_SECOND = 1000.0
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
        val STREAM_END_TIMEOUT = 60.seconds
    }
}
