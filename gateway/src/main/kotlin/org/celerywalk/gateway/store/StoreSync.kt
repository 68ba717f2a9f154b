package org.celerywalk.gateway.store

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.platform.wire.PlatformTable
import kotlin.time.Duration

/** How the reads of the store are shared with the other gateways, and who is told of changes. */
internal interface StoreEvents {
    /** Returns true if this gateway watches the store for the others. */
    fun isWatcher(): Boolean = true

    /** Returns true if other gateways depend on what this one reads as a watcher. */
    fun hasFollowers(): Boolean = false

    /** A newer configuration or newer weights were read. */
    fun onChange() = Unit

    /** Newer weights were read. */
    fun onNewWeights() = Unit
}

/** Keeps the configuration, the announced weights and the registered endpoints in sync with the platform's store. */
internal class StoreSync(state: FleetState, table: PlatformTable, log: EventLog, events: StoreEvents) :
    AutoCloseable {
    private val reachability = StoreReachability(state, log)
    private val operators = OperatorsSync(state, table, reachability, log, events)
    private val registry = RegistrySync(state, table, reachability, log)

    /** True once the registry was read for the first time. */
    val hasReadRegistry: Boolean get() = registry.hasRead

    /** True if this process itself read the configuration at most [age] ago. */
    fun hasReadWithin(age: Duration): Boolean = operators.timeSinceRead <= age

    /** Reads the configuration and the weights soon, since a peer has read something newer. */
    fun readSoon() = operators.readSoon()

    fun start() {
        operators.start()
        registry.start()
    }

    override fun close() {
        operators.close()
        registry.close()
    }
}
