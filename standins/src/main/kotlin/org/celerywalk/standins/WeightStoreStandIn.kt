package org.celerywalk.standins

import io.javalin.http.Context
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stand-in for the weight store, which has a limited transfer rate.
 *
 * A load takes `loadTime`; while more than two loads run, all of them slow down in proportion to their number.
 */
public class WeightStoreStandIn(port: Int = 0, loadTime: Duration = DEFAULT_LOAD_TIME) : StandIn {
    private val loadSimulator = WeightLoadSimulator(loadTime)
    private val server = startServer(port) { config ->
        config.routes.get("/v1/weights/{model}/{version}", ::load)
        config.routes.get("/test/counts") {
            it.json(
                mapOf(
                    "active" to loadSimulator.activeLoads,
                    "most_active" to loadSimulator.peakActiveLoads,
                    "loads" to loadSimulator.startedLoads,
                ),
            )
        }
    }

    override val port: Int = server.port()

    override fun close() {
        server.stop()
    }

    private fun load(ctx: Context) {
        loadSimulator.awaitLoad()
        ctx.result("${ctx.pathParam("model")} ${ctx.pathParam("version")}")
    }

    private companion object {
        val DEFAULT_LOAD_TIME = 600.milliseconds
    }
}

/** Simulates the time of concurrent weight loads that share a limited transfer rate. Thread-safe. */
internal class WeightLoadSimulator(private val loadTime: Duration) {
    private val activeCount = AtomicInteger()
    private val peakCount = AtomicInteger()
    private val startedCount = AtomicInteger()
    val activeLoads: Int get() = activeCount.get()
    val peakActiveLoads: Int get() = peakCount.get()
    val startedLoads: Int get() = startedCount.get()

    /** Blocks for the duration of one load. */
    fun awaitLoad() {
        startedCount.incrementAndGet()
        peakCount.accumulateAndGet(activeCount.incrementAndGet(), ::maxOf)
        try {
            repeat(TIME_SLICES) {
                val slowdown = maxOf(MAX_FULL_SPEED_LOADS, activeCount.get()).toDouble() / MAX_FULL_SPEED_LOADS
                Thread.sleep((loadTime / TIME_SLICES * slowdown).inWholeMilliseconds)
            }
        } finally {
            activeCount.decrementAndGet()
        }
    }

    private companion object {
        const val TIME_SLICES = 20
        const val MAX_FULL_SPEED_LOADS = 2
    }
}
