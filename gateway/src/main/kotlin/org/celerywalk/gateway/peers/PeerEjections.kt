package org.celerywalk.gateway.peers

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState

/**
 * Counts outlier ejections reported by other gateways, so that not every gateway has to lose calls to a failing
 * endpoint.
 *
 * A report counts like one failed call. A single report may come from a gateway that is itself cut off from the
 * endpoint, so ejecting the endpoint here too takes a second report or a failed call of this process. Used by one
 * thread.
 */
internal class PeerEjections(private val state: FleetState, private val log: EventLog) {
    private val endpointsByPeer = HashMap<String, Set<String>>()

    /**
     * Records that gateway [peer] has ejected [endpoints]. Messages repeat the whole state, so an endpoint counts only
     * when it first appears.
     */
    fun recordPeerEjections(peer: String, endpoints: Set<String>) {
        val previous = endpointsByPeer.put(peer, endpoints).orEmpty()
        val known = state.directory.endpoints
        (endpoints - previous).filter { it in known }.forEach { endpoint ->
            if (state.loads.getOrCreate(endpoint).health.recordPeerEjection()) {
                log.write("endpoint_ejected", "endpoint" to endpoint, "peer" to peer)
            }
        }
    }
}
