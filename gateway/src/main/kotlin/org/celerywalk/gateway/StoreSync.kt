package org.celerywalk.gateway

import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.StoredRow
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

/** Logs when the platform's store is lost and when it is back. */
internal class StoreReachability(private val state: FleetState, private val log: EventLog) {
    @Volatile
    private var isReachable: Boolean? = null

    fun recordFailure(error: CallError) {
        if (isReachable != false) log.write("store_lost", "step" to error.step, "cause" to error.message)
        isReachable = false
    }

    fun recordAnswer() {
        if (isReachable == false) log.write("store_back", "confirmation_age" to state.confirmation.age())
        isReachable = true
    }
}

internal fun EventLog.writeUnreadable(row: StoredRow) =
    write("row_unreadable", "table" to row.table, "key" to row.key, "row_version" to row.version)
