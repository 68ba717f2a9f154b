package org.celerywalk.gateway.store

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.platform.wire.CallError

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
