package org.celerywalk.rollout

/**
 * Evidence of all gateways on one roll-out.
 *
 * A process counts from its start and reports its counts. They are kept by process, so that a late, repeated or lost
 * report adds nothing twice, and a restarted gateway adds to what its previous process had counted. The time that a
 * report takes depends on its own routes only. Used by one thread at a time.
 */
public class FleetEvidence {
    private data class Process(val gateway: String, val epoch: Long)

    private val countsByProcess = HashMap<Process, HashMap<String, RouteEvidence>>()
    private val totalsByRoute = HashMap<String, RouteEvidence>()

    /** Counts of all processes by route. */
    public val totals: Map<String, RouteEvidence> get() = totalsByRoute

    /**
     * Records the counts by route of the process [epoch] of [gateway].
     *
     * Counts of more than [MAX_PROCESSES] processes or [MAX_ROUTES] routes are ignored, which limits the memory that
     * wrong reports can take.
     */
    public fun record(gateway: String, epoch: Long, counts: Map<String, RouteEvidence>) {
        val process = Process(gateway, epoch)
        if (process !in countsByProcess && countsByProcess.size >= MAX_PROCESSES) return
        val known = countsByProcess.getOrPut(process) { HashMap() }
        counts.forEach { (route, evidence) ->
            if (route !in totalsByRoute && totalsByRoute.size >= MAX_ROUTES) return@forEach
            val before = known[route] ?: RouteEvidence()
            val merged = before.merge(evidence)
            known[route] = merged
            totalsByRoute[route] = (totalsByRoute[route] ?: RouteEvidence()) + (merged - before)
        }
    }

    private companion object {
        // With 300 gateways and a few routes, about 1 MB.
        const val MAX_PROCESSES = 600
        const val MAX_ROUTES = 64
    }
}
