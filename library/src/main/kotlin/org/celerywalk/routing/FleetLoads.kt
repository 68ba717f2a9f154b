package org.celerywalk.routing

import org.celerywalk.endpoint.EndpointHealth
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Keeps the load of each endpoint by endpoint id. This class is thread-safe. */
public class FleetLoads(private val timeSource: TimeSource.WithComparableMarks) {
    private val loads = ConcurrentHashMap<String, EndpointLoad>()
    private val lastReportAtByPeer = HashMap<String, ComparableTimeMark>()

    @Volatile
    private var lastReportAt: ComparableTimeMark? = null

    /** Time since the last report of any peer, or null if there was none. */
    public val peerReportAge: Duration? get() = lastReportAt?.elapsedNow()

    /** Returns the load of the endpoint [id], which is created if it does not exist. */
    public fun getOrCreate(id: String): EndpointLoad = loads.computeIfAbsent(id) {
        EndpointLoad(timeSource, EndpointHealth(timeSource, EJECTION_TIME))
    }

    /**
     * Records the [work] that the process [peer] has at endpoints, by endpoint id.
     *
     * @param isComplete true if the peer has no work at other endpoints; false if its work there has not changed.
     */
    @Synchronized
    public fun recordPeerReport(peer: String, work: Map<String, RankedWork>, isComplete: Boolean) {
        lastReportAtByPeer[peer] = timeSource.markNow()
        lastReportAt = timeSource.markNow()
        if (isComplete) {
            loads.forEach { (id, load) -> load.recordPeerWork(peer, work[id] ?: RankedWork()) }
        } else {
            work.forEach { (id, endpointWork) -> loads[id]?.recordPeerWork(peer, endpointWork) }
        }
    }

    /** Forgets the work of peers whose last report is older than [maxAge]. */
    @Synchronized
    public fun expirePeerReports(maxAge: Duration) {
        val silentPeers = lastReportAtByPeer.filterValues { it.elapsedNow() > maxAge }.keys
        silentPeers.forEach { peer ->
            lastReportAtByPeer.remove(peer)
            loads.values.forEach { it.recordPeerWork(peer, RankedWork()) }
        }
    }

    /** Returns the age of the last report of the peer that has been silent for longest, or null without peers. */
    @Synchronized
    public fun oldestPeerReportAge(): Duration? = lastReportAtByPeer.values.maxOfOrNull { it.elapsedNow() }

    /** Removes the load of the endpoint [id]. */
    public fun remove(id: String) {
        loads.remove(id)
    }

    /** Returns a live view of the loads by endpoint id. */
    public fun asMap(): Map<String, EndpointLoad> = loads

    private companion object {
        val EJECTION_TIME = 1.seconds
    }
}
