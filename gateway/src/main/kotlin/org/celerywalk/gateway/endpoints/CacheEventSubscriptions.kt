package org.celerywalk.gateway.endpoints

import org.celerywalk.cache.CacheEventCursor
import org.celerywalk.cache.CacheEvents
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ResponsibleInstance
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the cache events of every model replica and of the cache store.
 *
 * Each holder of a cache is polled by one gateway, which reports its events to the others. A gateway polls the other
 * holders only while it misses events of them.
 *
 * @param reachablePeers returns the names of the gateways that reports can be expected from.
 */
internal class CacheEventSubscriptions(
    private val state: FleetState,
    private val replicas: ReplicaCalls,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val reachablePeers: () -> Set<String>,
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

    /** Applies [events] of [holder] that a peer reports. */
    fun applyReport(holder: String, events: CacheEvents) {
        subscriptions[holder]?.applyReport(events)
    }

    /**
     * Returns and removes the events that this process has read since the last call and that peers should apply.
     *
     * What does not fit a message is left out; the peers notice the gap and read those events themselves.
     */
    fun takeReports(): Map<String, CacheEvents> {
        var eventsLeft = MAX_REPORTED_EVENTS
        return subscriptions.mapNotNull { (holder, subscription) ->
            subscription.takeReport()?.takeIf { it.events.size <= eventsLeft }?.let {
                eventsLeft -= it.events.size
                holder to it
            }
        }.toMap()
    }

    /** Returns the position in the events of each holder that this process reads, as events without content. */
    fun positions(): Map<String, CacheEvents> =
        subscriptions.mapNotNull { (holder, subscription) -> subscription.position()?.let { holder to it } }.toMap()

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
        val peers = reachablePeers()
        subscriptions.forEach { (holder, subscription) ->
            subscription.isReader = ResponsibleInstance.isResponsible(state.settings.instance, holder, peers)
        }
    }

    private inner class Subscription(private val holder: String, private val address: String) : AutoCloseable {
        private val pollTask = PeriodicTask("cache-$address", ::pollDelay, log, ::poll)
        private val cursor = CacheEventCursor(state.timeSource, MAX_REPORT_AGE)
        private val unreportedEvents = AtomicReference<CacheEvents?>()
        private var runsSinceFailure = 0

        /** True if this process polls the holder and reports its events. Set by another thread. */
        @Volatile
        var isReader = false

        fun start(initialDelay: Duration) = pollTask.start(initialDelay)

        override fun close() = pollTask.close()

        fun applyReport(events: CacheEvents) {
            // A reader applies what it reads itself, so that no event is applied after a later one.
            if (isReader) return
            if (cursor.advanceByReport(events)) applyEvents(events)
        }

        fun takeReport(): CacheEvents? = unreportedEvents.getAndSet(null)

        fun position(): CacheEvents? = cursor.epoch?.takeIf { isReader && !cursor.needsRead }?.let { epoch ->
            CacheEvents(epoch, cursor.nextSequence, cursor.nextSequence, emptyList())
        }

        private fun pollDelay() = if (isReader) POLL_DELAY else CHECK_DELAY

        private fun poll() {
            if (!isReader && !cursor.needsRead) return
            if (runsSinceFailure > 0 && runsSinceFailure++ % RUNS_PER_RETRY != 0) return
            metrics.recordCachePoll()
            replicas.events(address, cursor.nextSequence, LONG_POLL_TIMEOUT).fold(
                { error ->
                    if (runsSinceFailure == 0) {
                        log.write("cache_events_lost", "holder" to holder, "cause" to error.message)
                    }
                    runsSinceFailure++
                },
                { events ->
                    runsSinceFailure = 0
                    applyRead(events)
                },
            )
        }

        private fun applyRead(events: CacheEvents) {
            val previousEpoch = cursor.epoch
            if (cursor.advance(events)) {
                if (previousEpoch != null) log.write("cache_reset", "holder" to holder, "epoch" to events.epoch)
                state.locations.reset(holder, events.epoch)
            }
            if (events.hasGap) log.write("cache_events_gap", "holder" to holder, "since" to events.firstSequence)
            applyEvents(events)
            // Peers read the history of a holder themselves: it is too large for a message.
            if (isReader) unreportedEvents.updateAndGet { it?.followedBy(events)?.takeIf(::fitsMessage) ?: events }
        }

        private fun fitsMessage(events: CacheEvents) = events.events.size <= MAX_REPORTED_EVENTS

        private fun applyEvents(events: CacheEvents) =
            events.events.forEach { state.locations.applyCacheEvent(holder, it.scope, it.part, it.tokens) }
    }

    private companion object {
        val UPDATE_DELAY = 500.milliseconds
        val INITIAL_UPDATE_DELAY = 700.milliseconds

        // Reading the history of one holder, some thousand events, takes tens of milliseconds of CPU time.
        val INITIAL_READ_INTERVAL = 150.milliseconds
        val LONG_POLL_TIMEOUT = 1.seconds

        // Events arrive with a delay in any case; a pause between polls lets one call return several of them.
        val POLL_DELAY = 200.milliseconds

        // Time between two checks whether reports of peers are missing.
        val CHECK_DELAY = 1.seconds

        // Readers report their positions about once a second.
        val MAX_REPORT_AGE = 3.seconds

        // Events in one message, about 20 KB of the 60 KB that a message may have.
        const val MAX_REPORTED_EVENTS = 400

        // After a failure, only about every fifth run polls the holder again.
        const val RUNS_PER_RETRY = 5
    }
}
