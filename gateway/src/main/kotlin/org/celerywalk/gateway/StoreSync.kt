package org.celerywalk.gateway

import org.celerywalk.platform.wire.PlatformTable
import kotlin.time.Duration

/** Keeps the configuration, the announced weights and the registered endpoints in sync with the platform's store. */
internal class StoreSync(state: FleetState, table: PlatformTable, log: EventLog, onNewWeights: () -> Unit) :
    AutoCloseable {
    private val reachability = StoreReachability(state, log)
    private val operators = OperatorsSync(state, table, reachability, log, onNewWeights)
    private val registry = RegistrySync(state, table, reachability, log)

    /** True once the registry was read for the first time. */
    val hasReadRegistry: Boolean get() = registry.hasRead

    /** True if this process itself read the configuration at most [age] ago. */
    fun hasReadWithin(age: Duration): Boolean = operators.hasReadWithin(age)

    fun start() {
        operators.start()
        registry.start()
    }

    override fun close() {
        operators.close()
        registry.close()
    }
}
