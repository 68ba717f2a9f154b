package org.celerywalk.gateway

/**
 * Takes over what other gateways have found out about failing endpoints, so that not each of them has to lose calls.
 *
 * A report counts like one failed call. One gateway alone may be the one that is cut off; it takes a second report, or
 * a failed call of this process, to eject the endpoint here too. Used by one thread.
 */
internal class PeerEjections(private val state: FleetState, private val log: EventLog) {
    private val reported = HashMap<String, Set<String>>()

    /** Gateway [peer] sends no work to [endpoints] now. Messages repeat the state; an endpoint counts once. */
    fun reported(peer: String, endpoints: Set<String>) {
        val before = reported.put(peer, endpoints).orEmpty()
        val known = state.directory.endpoints
        (endpoints - before).filter { it in known }.forEach { endpoint ->
            if (state.loads.of(endpoint).health.failed()) {
                log.write("endpoint_ejected", "endpoint" to endpoint, "peer" to peer)
            }
        }
    }
}
