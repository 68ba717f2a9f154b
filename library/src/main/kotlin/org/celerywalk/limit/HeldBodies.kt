package org.celerywalk.limit

/**
 * Bytes that endpoints hold for requests: bodies that were sent and not answered, of this gateway and of its peers.
 *
 * Each gateway decides alone, from what it and its peers last reported. Of the room that was left at an endpoint then,
 * it takes at most its share until the next report, so that gateways that decide at the same time stay within the limit
 * together. This class is thread-safe.
 *
 * @param limitBytes number of bytes that an endpoint may hold.
 * @param gatewayCount returns the number of gateways that send to the endpoints, this one included.
 */
public class HeldBodies(private val limitBytes: Long, private val gatewayCount: () -> Int) {
    private class Held {
        var ownBytes = 0L
        var reportedBytes = 0L
        val bytesByPeer = HashMap<String, Long>()
        val peerBytes: Long get() = bytesByPeer.values.sum()
        val isEmpty: Boolean get() = ownBytes == 0L && reportedBytes == 0L && bytesByPeer.isEmpty()
    }

    private val heldByEndpoint = HashMap<String, Held>()

    /**
     * Counts a body of [bytes] at [endpoint] until [release], or returns false if the endpoint has no room for it.
     *
     * An endpoint that is known to hold nothing takes any body up to the limit, or a body larger than this gateway's
     * share could be sent nowhere.
     */
    @Synchronized
    public fun tryHold(endpoint: String, bytes: Long): Boolean {
        val held = heldByEndpoint[endpoint] ?: Held()
        val canHold = if (held.isEmpty) bytes <= limitBytes else held.ownBytes + bytes <= ownLimit(held)
        if (canHold) {
            held.ownBytes += bytes
            heldByEndpoint[endpoint] = held
        }
        return canHold
    }

    /** Ends the count of a body of [bytes] at [endpoint], which has answered its request. */
    @Synchronized
    public fun release(endpoint: String, bytes: Long) {
        val held = heldByEndpoint[endpoint] ?: return
        // The endpoint may have been forgotten and counted again in between.
        held.ownBytes = (held.ownBytes - bytes).coerceAtLeast(0)
        removeIfEmpty(endpoint, held)
    }

    /** Returns the bytes that endpoints hold for this gateway, for a report to its peers. */
    @Synchronized
    public fun report(): Map<String, Long> {
        heldByEndpoint.values.forEach { it.reportedBytes = it.ownBytes }
        val report = heldByEndpoint.filterValues { it.ownBytes > 0 }.mapValues { it.value.ownBytes }
        heldByEndpoint.values.removeIf { it.isEmpty }
        return report
    }

    /** Records the bytes that endpoints hold for [peer]; replaces its last report. */
    @Synchronized
    public fun recordPeerReport(peer: String, bytesByEndpoint: Map<String, Long>) {
        forgetPeer(peer)
        bytesByEndpoint.filterValues { it > 0 }.forEach { (endpoint, bytes) ->
            heldByEndpoint.getOrPut(endpoint, ::Held).bytesByPeer[peer] = bytes
        }
    }

    /** Forgets what endpoints hold for [peer], which has been silent for long or has ended. */
    @Synchronized
    public fun forgetPeer(peer: String) {
        heldByEndpoint.values.forEach { it.bytesByPeer.remove(peer) }
        heldByEndpoint.values.removeIf { it.isEmpty }
    }

    /** Forgets [endpoint], which has ended. */
    @Synchronized
    public fun forgetEndpoint(endpoint: String) {
        heldByEndpoint.remove(endpoint)
    }

    private fun ownLimit(held: Held): Long {
        val room = (limitBytes - held.peerBytes - held.reportedBytes).coerceAtLeast(0)
        return held.reportedBytes + room / gatewayCount().coerceAtLeast(1)
    }

    private fun removeIfEmpty(endpoint: String, held: Held) {
        if (held.isEmpty) heldByEndpoint.remove(endpoint)
    }
}
