package org.celerywalk.gateway

import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.FleetDocument
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.StoredRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps configuration, named weights and registered endpoints up to date from the platform's store. */
internal class StoreDuties(
    private val state: FleetState,
    private val table: PlatformTable,
    private val log: EventLog,
    private val onWeightsNamed: () -> Unit,
) : AutoCloseable {
    private val operators = PeriodicDuty("store-operators", READ_PERIOD, log, ::readOperators)
    private val registry = PeriodicDuty("store-registry", READ_PERIOD, log, ::readRegistry)
    private val changes = PeriodicDuty("store-changes", CHANGES_PAUSE, log, ::awaitChange)

    @Volatile
    private var storeVersion = 0L

    @Volatile
    private var reachable: Boolean? = null

    /** True once the registry was read. */
    @Volatile
    var registryRead: Boolean = false
        private set

    fun start() {
        operators.start()
        registry.start()
        changes.start()
    }

    override fun close() {
        listOf(operators, registry, changes).forEach { it.close() }
    }

    private fun readOperators() {
        val sentAt = state.timeSource.markNow()
        table.read(OPERATORS_TABLE, READ_TIMEOUT).fold(::unreachable) { reading ->
            reachable()
            storeVersion = maxOf(storeVersion, reading.storeVersion)
            if (reading.rows.all(::apply)) state.confirmation.confirm(sentAt)
        }
    }

    // Returns false if the row could not be put in force.
    private fun apply(row: StoredRow): Boolean = when {
        row.key == CONFIGURATION_KEY -> FleetDocument.configuration(row.value)?.let(::adopt) ?: unreadable(row)
        row.key.startsWith(WEIGHTS_PREFIX) -> FleetDocument.namedWeights(row.value)?.let { weights ->
            if (state.name(weights)) {
                log.write("weights_named", "model" to weights.model, "version" to weights.version)
                onWeightsNamed()
            }
            true
        } ?: unreadable(row)
        else -> true
    }

    private fun adopt(configuration: org.celerywalk.fleet.FleetConfiguration): Boolean {
        if (state.adopt(configuration)) {
            log.write(
                "configuration_adopted",
                "version" to configuration.version,
                "routes" to configuration.routes.size,
                "accounts" to configuration.accounts?.size,
            )
        }
        return state.active?.configuration?.version == configuration.version
    }

    private fun unreadable(row: StoredRow): Boolean {
        log.write("row_unreadable", "table" to row.table, "key" to row.key, "row_version" to row.version)
        return false
    }

    private fun readRegistry() {
        table.read(REGISTRY_TABLE, READ_TIMEOUT).fold(::unreachable) { reading ->
            reachable()
            val entries = reading.rows.mapNotNull { row ->
                FleetDocument.endpoint(row.key, row.value).also { if (it == null) unreadable(row) }
            }
            val change = state.directory.read(entries)
            registryRead = true
            entries.forEach { entry ->
                entry.models.forEach { (model, version) -> state.loads.of(entry.id).sawVersion(model, version) }
            }
            change.added.forEach { logEndpoint("endpoint_added", it) }
            change.left.forEach { logEndpoint("endpoint_leaving", it) }
            change.removed.forEach {
                logEndpoint("endpoint_removed", it)
                state.loads.forget(it.id)
                state.locations.forget(it.id)
            }
        }
    }

    private fun logEndpoint(event: String, endpoint: org.celerywalk.endpoint.RegisteredEndpoint) {
        log.write(event, "endpoint" to endpoint.id, "service" to endpoint.service, "address" to endpoint.address)
    }

    // The answer only says that there is something to read, so a lost or late one costs time but no correctness.
    private fun awaitChange() {
        table.awaitChange(OPERATORS_TABLE, storeVersion, CHANGES_WAIT).fold(
            { error -> if (error.status == HISTORY_GONE) operators.runSoon() else unreachable(error) },
            { version ->
                if (version > storeVersion) {
                    storeVersion = version
                    operators.runSoon()
                }
            },
        )
    }

    private fun unreachable(error: CallError) {
        if (reachable != false) log.write("store_lost", "step" to error.step, "cause" to error.message)
        reachable = false
    }

    private fun reachable() {
        if (reachable == false) log.write("store_back", "confirmation_age" to state.confirmation.age())
        reachable = true
    }

    private companion object {
        const val OPERATORS_TABLE = "op"
        const val REGISTRY_TABLE = "servers"
        const val CONFIGURATION_KEY = "config"
        const val WEIGHTS_PREFIX = "version/"
        const val HISTORY_GONE = 410

        // Leaving endpoints must get no new work after two seconds; each reading costs a call to the store.
        val READ_PERIOD = 1.seconds
        val READ_TIMEOUT = 900.milliseconds

        // The feed's version counts all tables, so a change elsewhere does not end the wait.
        val CHANGES_WAIT = 5.seconds
        val CHANGES_PAUSE = 50.milliseconds
    }
}
