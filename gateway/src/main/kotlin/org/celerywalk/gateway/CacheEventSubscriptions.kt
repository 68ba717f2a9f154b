package org.celerywalk.gateway

import org.celerywalk.platform.wire.CacheEvents
import org.celerywalk.platform.wire.ReplicaCalls
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the cache events of every model replica and of the cache store, each on a thread of its own. */
internal class CacheEventDuties(
    private val state: FleetState,
    private val replicas: ReplicaCalls,
    private val log: EventLog,
) : AutoCloseable {
    private val followers = ConcurrentHashMap<String, Follower>()
    private val duty = PeriodicDuty("cache-followers", CHECK_PERIOD, log, ::check)

    // What the holders have kept so far is much to read at a time when the first requests wait.
    fun start() {
        duty.start(after = FIRST_CHECK)
    }

    override fun close() {
        duty.close()
        followers.values.forEach { it.close() }
    }

    private fun check() {
        val active = state.active ?: return
        val engines = active.configuration.services.values.filter { it.engine != null }.map { it.name }.toSet()
        // The store first: it keeps most of the shared parts.
        val holders = listOfNotNull(active.cacheStore).associate { it.address to it.address } +
            state.directory.endpoints.values.filter { it.service in engines }.associate { it.id to it.address }
        followers.filterKeys { it !in holders }.forEach { (holder, follower) ->
            follower.close()
            followers.remove(holder)
        }
        holders.filterKeys { !followers.containsKey(it) }.entries.forEachIndexed { i, (holder, address) ->
            followers[holder] = Follower(holder, address).also { it.start(after = FIRST_READ_SPACING * i) }
        }
    }

    private inner class Follower(private val holder: String, private val address: String) : AutoCloseable {
        private val duty = PeriodicDuty("cache-$address", PAUSE, log, ::follow)
        private var epoch: Long? = null
        private var next = 0L
        private var failures = 0

        fun start(after: Duration) = duty.start(after)

        override fun close() = duty.close()

        private fun follow() {
            if (failures > 0 && failures++ % FAILURE_STRIDE != 0) return
            replicas.events(address, next, WAIT).fold(
                { error ->
                    if (failures == 0) log.write("cache_events_lost", "holder" to holder, "cause" to error.message)
                    failures++
                },
                { events ->
                    failures = 0
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
            if (events.gap) log.write("cache_events_gap", "holder" to holder, "since" to next)
            next = events.next
            events.events.forEach { state.locations.changed(holder, it.scope, it.part, it.tokens) }
        }
    }

    private companion object {
        val CHECK_PERIOD = 500.milliseconds
        val FIRST_CHECK = 700.milliseconds

        // A holder's history of some thousand events takes tens of milliseconds of the processor to read.
        val FIRST_READ_SPACING = 150.milliseconds
        val WAIT = 1.seconds

        // Events come late anyway; a pause lets one call bring several.
        val PAUSE = 200.milliseconds

        // After a failure only every fifth run asks again.
        const val FAILURE_STRIDE = 5
    }
}
