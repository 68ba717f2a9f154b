package org.celerywalk.gateway

import org.celerywalk.platform.wire.CacheEvents
import org.celerywalk.platform.wire.ReplicaCalls
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Polls the cache events of every model replica and of the cache store, each on a dedicated thread. */
internal class CacheEventSubscriptions(
    private val state: FleetState,
    private val replicas: ReplicaCalls,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) : AutoCloseable {
    private val subscriptions = ConcurrentHashMap<String, Subscription>()
    private val updateTask = PeriodicTask("cache-followers", UPDATE_DELAY, log, ::updateSubscriptions)

    // The first update is delayed: reading the event histories of all cache holders takes much CPU time, which the
    // requests that wait for the end of the start need first.
    fun start() {
        updateTask.start(initialDelay = INITIAL_UPDATE_DELAY)
    }

    override fun close() {
        updateTask.close()
        subscriptions.values.forEach { it.close() }
    }

    private fun updateSubscriptions() {
        val activeConfiguration = state.activeConfiguration ?: return
        val engines =
            activeConfiguration.configuration.services.values.filter { it.engine != null }.map { it.name }.toSet()
        // The cache store comes first, since it holds most of the shared prompt parts.
        val addresses = listOfNotNull(activeConfiguration.cacheStore).associate { it.address to it.address } +
            state.directory.endpoints.values.filter { it.service in engines }.associate { it.id to it.address }
        subscriptions.filterKeys { it !in addresses }.forEach { (holder, subscription) ->
            subscription.close()
            subscriptions.remove(holder)
        }
        addresses.filterKeys { !subscriptions.containsKey(it) }.entries.forEachIndexed { index, (holder, address) ->
            subscriptions[holder] =
                Subscription(holder, address).also { it.start(initialDelay = INITIAL_READ_INTERVAL * index) }
        }
    }

    private inner class Subscription(private val holder: String, private val address: String) : AutoCloseable {
        private val pollTask = PeriodicTask("cache-$address", POLL_DELAY, log, ::poll)
        private var epoch: Long? = null
        private var nextSequence = 0L
        private var runsSinceFailure = 0

        fun start(initialDelay: Duration) = pollTask.start(initialDelay)

        override fun close() = pollTask.close()

        private fun poll() {
            if (runsSinceFailure > 0 && runsSinceFailure++ % RUNS_PER_RETRY != 0) return
            metrics.recordCachePoll()
            replicas.events(address, nextSequence, LONG_POLL_TIMEOUT).fold(
                { error ->
                    if (runsSinceFailure == 0) {
                        log.write("cache_events_lost", "holder" to holder, "cause" to error.message)
                    }
                    runsSinceFailure++
                },
                { events ->
                    runsSinceFailure = 0
                    apply(events)
                },
            )
        }

        private fun apply(events: CacheEvents) {
            if (events.epoch != epoch) {
                if (epoch != null) log.write("cache_reset", "holder" to holder, "epoch" to events.epoch)
                state.locations.reset(holder, events.epoch)
                epoch = events.epoch
            }
            if (events.hasGap) log.write("cache_events_gap", "holder" to holder, "since" to nextSequence)
            nextSequence = events.nextSequence
            events.events.forEach { state.locations.applyCacheEvent(holder, it.scope, it.part, it.tokens) }
        }
    }

    private companion object {
        val UPDATE_DELAY = 500.milliseconds
        val INITIAL_UPDATE_DELAY = 700.milliseconds

        // Reading the history of one holder, some thousand events, takes tens of milliseconds of CPU time.
        val INITIAL_READ_INTERVAL = 150.milliseconds
        val LONG_POLL_TIMEOUT = 1.seconds

        // Events arrive with a delay in any case; a pause between polls lets one call return several of them.
        val POLL_DELAY = 200.milliseconds

        // After a failure, only about every fifth run polls the holder again.
        const val RUNS_PER_RETRY = 5
    }
}
