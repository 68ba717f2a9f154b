package org.celerywalk.gateway

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.FleetDocument
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RegistryDocument
import org.celerywalk.platform.wire.StoredRow
import java.util.concurrent.locks.LockSupport
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps configuration, named weights and registered endpoints up to date from the platform's store. */
internal class StoreDuties(
    private val state: FleetState,
    private val table: PlatformTable,
    private val log: EventLog,
    private val onWeightsNamed: () -> Unit,
) : AutoCloseable {
    private val operators = PeriodicDuty("store-operators", CONFIRMATION_PERIOD, log, ::readOperators)
    private val registry = PeriodicDuty("store-registry", REGISTRY_PERIOD, log, ::readRegistry)
    private val operatorChanges = ChangeFeed(OPERATORS_TABLE, operators::runSoon)

    @Volatile
    private var reachable: Boolean? = null

    @Volatile
    private var lastRead: ComparableTimeMark? = null

    /** True once the registry was read. */
    @Volatile
    var registryRead: Boolean = false
        private set

    /** True if this process itself read the store at most [age] ago. */
    fun readWithin(age: Duration): Boolean = lastRead?.let { it.elapsedNow() <= age } ?: false

    fun start() {
        operators.start()
        registry.start()
        operatorChanges.start()
    }

    override fun close() {
        listOf(operators, registry, operatorChanges).forEach { it.close() }
    }

    private fun readOperators() {
        val sentAt = state.timeSource.markNow()
        table.read(OPERATORS_TABLE, READ_TIMEOUT).fold(::unreachable) { reading ->
            reachable()
            lastRead = sentAt
            operatorChanges.seen(reading.storeVersion)
            if (reading.rows.all(::apply)) state.confirmation.confirm(sentAt)
            // Requests with a key need the confirmation too.
            if (state.active != null) state.startGate.configured()
        }
    }

    // Returns false if the row could not be put in force.
    private fun apply(row: StoredRow): Boolean = when {
        row.key == CONFIGURATION_KEY ->
            FleetDocument.configuration(row.value)?.let(::adopt) ?: false.also { log.unreadable(row) }
        row.key.startsWith(WEIGHTS_PREFIX) -> FleetDocument.namedWeights(row.value)?.let { weights ->
            if (state.name(weights)) {
                log.write("weights_named", "model" to weights.model, "version" to weights.version)
                onWeightsNamed()
            }
            true
        } ?: false.also { log.unreadable(row) }
        else -> true
    }

    // Returns false if another version is in force.
    private fun adopt(configuration: FleetConfiguration): Boolean {
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

    private fun readRegistry() {
        table.read(REGISTRY_TABLE, READ_TIMEOUT).fold(::unreachable) { reading ->
            reachable()
            val entries = reading.rows.mapNotNull { row ->
                RegistryDocument.endpoint(row.key, row.value).also { if (it == null) log.unreadable(row) }
            }
            val change = state.directory.read(entries)
            registryRead = true
            state.startGate.endpointsKnown()
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

    private fun logEndpoint(event: String, endpoint: RegisteredEndpoint) {
        log.write(event, "endpoint" to endpoint.id, "service" to endpoint.service, "address" to endpoint.address)
    }

    /** Waits for changes of one table and has it read then. */
    private inner class ChangeFeed(private val table: String, private val onChange: () -> Unit) : AutoCloseable {
        private val duty = PeriodicDuty("store-feed-$table", FEED_PAUSE, log, ::await)

        @Volatile
        private var version = 0L

        fun start() = duty.start()

        override fun close() = duty.close()

        fun seen(version: Long) {
            this.version = maxOf(this.version, version)
        }

        // The answer only says that there is something to read, so a lost or late one costs time but no correctness.
        private fun await() {
            val after = version
            this@StoreDuties.table.awaitChange(table, after, FEED_WAIT).fold(
                { error ->
                    if (error.status == HISTORY_GONE) onChange() else unreachable(error)
                    LockSupport.parkNanos(ERROR_PAUSE.inWholeNanoseconds)
                },
                { change ->
                    seen(change.storeVersion)
                    if (change.changed) {
                        val version = change.storeVersion
                        log.write("store_changed", "table" to table, "version" to version, "before" to after)
                        onChange()
                    }
                },
            )
        }
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

        // Keys may be used for a few seconds after the last confirmation; each reading costs a call to the store.
        val CONFIRMATION_PERIOD = 1400.milliseconds

        // Every endpoint renews its registration about once a second, so a feed would return many times a second. A
        // leaving endpoint must get no more work after two seconds.
        val REGISTRY_PERIOD = 1.seconds
        val READ_TIMEOUT = 900.milliseconds
        val FEED_WAIT = 5.seconds
        val FEED_PAUSE = 100.milliseconds

        // Refused calls cost as much as others.
        val ERROR_PAUSE = 1.seconds
    }
}

private fun EventLog.unreadable(row: StoredRow) =
    write("row_unreadable", "table" to row.table, "key" to row.key, "row_version" to row.version)
