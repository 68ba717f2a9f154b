package org.celerywalk.gateway.store

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayBounds
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RegistryDocument
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the registered endpoints in sync with the registry in the platform's store. */
internal class RegistrySync(
    private val state: FleetState,
    private val table: PlatformTable,
    private val reachability: StoreReachability,
    private val log: EventLog,
) : AutoCloseable {
    private val task = PeriodicTask("store-registry", readInterval(state.settings.bounds), log, ::readRegistry)

    /** True once the registry was read for the first time. */
    @Volatile
    var hasRead: Boolean = false
        private set

    fun start() {
        task.start()
    }

    override fun close() {
        task.close()
    }

    private fun readRegistry() {
        table.read(REGISTRY_TABLE, TRANSFER_TIMEOUT, MAX_READ_SILENCE).fold(reachability::recordFailure) { reading ->
            reachability.recordAnswer()
            val entries = reading.rows.mapNotNull { row ->
                RegistryDocument.decodeEndpoint(row.key, row.value).also { if (it == null) log.writeUnreadable(row) }
            }
            val change = state.directory.update(entries)
            hasRead = true
            state.startupGate.markEndpointsLoaded()
            val endpoints = state.directory.endpoints
            entries.filter { it.id in endpoints }.forEach { entry ->
                entry.models.forEach { (model, version) ->
                    state.loads.getOrCreate(entry.id).recordWeightsVersion(model, version)
                }
            }
            change.added.forEach { logEndpoint("endpoint_added", it) }
            change.startedDraining.forEach { logEndpoint("endpoint_leaving", it) }
            change.removed.forEach {
                logEndpoint("endpoint_removed", it)
                state.loads.remove(it.id)
                state.capacities.remove(it.id)
                state.locations.remove(it.id)
            }
        }
    }

    private fun logEndpoint(event: String, endpoint: RegisteredEndpoint) {
        log.write(event, "endpoint" to endpoint.id, "service" to endpoint.service, "address" to endpoint.address)
    }

    companion object {
        private const val REGISTRY_TABLE = "servers"

        private val MAX_READ_SILENCE = 900.milliseconds
        private val TRANSFER_TIMEOUT = 6.seconds
        private val MIN_READ_INTERVAL = 1.seconds
        private const val READS_PER_DRAIN = 2

        /**
         * Time between two reads of the registry, so that a draining endpoint is seen within [bounds].
         *
         * The registry is polled: a change feed would return many times a second, since every endpoint renews its
         * registration about once a second.
         */
        fun readInterval(bounds: GatewayBounds): Duration =
            maxOf(MIN_READ_INTERVAL, bounds.endpointDrain / READS_PER_DRAIN)
    }
}
