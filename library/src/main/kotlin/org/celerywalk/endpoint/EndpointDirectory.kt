package org.celerywalk.endpoint

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Holds the endpoints that may be called, updated from periodic reads of the platform's registry.
 *
 * Registrations may expire during a registry outage and are renewed shortly after it. An endpoint that is missing after
 * an outage is therefore kept until [reregistrationGrace] has passed since the first read. An endpoint that crashed
 * stays registered for some seconds; it is removed as soon as a later start of the same service registers its address.
 *
 * The registry may also come back from an older copy, which still has entries of endpoints that have left since. A
 * start that was draining stays so, and one that had left is not taken back until its entry would have expired.
 * Safe for use from several threads.
 *
 * @param outageThreshold time between two successful reads above which the registry counts as having been down.
 * @param reregistrationGrace time after an outage during which missing endpoints are kept.
 */
public class EndpointDirectory(
    private val timeSource: TimeSource.WithComparableMarks,
    private val outageThreshold: Duration,
    private val reregistrationGrace: Duration,
) {
    private var knownEndpoints = emptyMap<String, RegisteredEndpoint>()
    private var lastReadAt: ComparableTimeMark? = null
    private var outageEndedAt: ComparableTimeMark? = null
    private var restoredAt: ComparableTimeMark? = null

    // Starts that were removed, oldest first.
    private val departedStarts = LinkedHashSet<EndpointStart>()

    /** What endpoints have stated about themselves in responses. */
    public val notices: EndpointNotices = EndpointNotices(timeSource)

    /** Endpoints by id, including those that are draining. */
    public val endpoints: Map<String, RegisteredEndpoint>
        @Synchronized get() = knownEndpoints

    /** Returns the endpoints of [service] that accept new requests. */
    public fun servingEndpoints(service: String): List<RegisteredEndpoint> =
        endpoints.values.filter { it.service == service && !isLeaving(it) }

    /** Returns true if [endpoint] is draining, by the registry or by its own statement. */
    public fun isLeaving(endpoint: RegisteredEndpoint): Boolean =
        endpoint.isDraining || notices.isLeaving(endpoint.start)

    /**
     * Records that the endpoint at [address] has stated that it is leaving, and returns it if this was not known.
     *
     * The endpoint is ignored if it started at another time than [startedAtMillis], unless one of them is unknown.
     */
    public fun recordLeaving(address: String, startedAtMillis: Long?): RegisteredEndpoint? {
        val endpoint = endpoints.values.firstOrNull { it.address == address } ?: return null
        val isOtherStart =
            startedAtMillis != null && endpoint.startedAtMillis != null && startedAtMillis != endpoint.startedAtMillis
        return endpoint.takeIf { !isOtherStart && notices.recordLeaving(it.start) }
    }

    /** Records that the registry has come back from an older copy. */
    @Synchronized
    public fun recordStoreRestored() {
        val now = timeSource.markNow()
        restoredAt = now
        outageEndedAt = now
    }

    /** Replaces the known endpoints by the registry's [entries] and returns the difference. */
    @Synchronized
    public fun update(entries: List<RegisteredEndpoint>): DirectoryChange {
        val previousRead = lastReadAt
        if (previousRead != null && previousRead.elapsedNow() > outageThreshold) outageEndedAt = timeSource.markNow()
        lastReadAt = timeSource.markNow()
        val mayReregister = outageEndedAt?.let { it.elapsedNow() <= reregistrationGrace } ?: false
        // Without the time of its start, an endpoint that starts again under its id can't be told from the one before.
        val draining = entries.filter { it.isDraining && it.startedAtMillis != null }
        notices.mergeLeaving(draining.mapTo(HashSet()) { it.start })
        val listedEndpoints = entries.filterNot(::isFromOlderCopy).associateBy { it.id }
        val keptEndpoints = if (mayReregister) knownEndpoints.filterKeys { it !in listedEndpoints } else emptyMap()
        val previousEndpoints = knownEndpoints
        knownEndpoints = withoutReplacedEndpoints(listedEndpoints + keptEndpoints)
        recordDepartures(previousEndpoints.values)
        notices.retain(knownEndpoints.values.mapTo(HashSet()) { it.start })
        return DirectoryChange(
            added = knownEndpoints.values.filter { it.id !in previousEndpoints },
            startedDraining = knownEndpoints.values
                .filter { it.isDraining && previousEndpoints[it.id]?.isDraining == false },
            removed = previousEndpoints.values.filter { it.id !in knownEndpoints },
        )
    }

    private fun isFromOlderCopy(entry: RegisteredEndpoint): Boolean {
        val isCopyRecent = restoredAt?.let { it.elapsedNow() <= reregistrationGrace * EXPIRY_GRACES } ?: false
        return isCopyRecent && entry.start in departedStarts
    }

    private fun recordDepartures(previous: Collection<RegisteredEndpoint>) {
        val knownStarts = knownEndpoints.values.mapTo(HashSet()) { it.start }
        departedStarts -= knownStarts
        departedStarts += previous.map { it.start }.filter { it !in knownStarts }
        if (departedStarts.size > MAX_DEPARTED_STARTS) {
            departedStarts -= departedStarts.take(departedStarts.size - MAX_DEPARTED_STARTS).toSet()
        }
    }

    // An endpoint is replaced only by an entry of the same service, because other writers of the registry may add
    // entries of services that do not exist.
    private fun withoutReplacedEndpoints(endpoints: Map<String, RegisteredEndpoint>): Map<String, RegisteredEndpoint> {
        val latestStarts = HashMap<Pair<String, String>, Long>()
        endpoints.values.forEach { endpoint ->
            endpoint.startedAtMillis?.let { latestStarts.merge(endpoint.service to endpoint.address, it, ::maxOf) }
        }
        return endpoints.filterValues {
            it.startedAtMillis == null || it.startedAtMillis == latestStarts[it.service to it.address]
        }
    }

    private companion object {
        // The registry removes an entry that is not renewed after about this many times the grace period.
        const val EXPIRY_GRACES = 2

        // Several times the number of endpoints that are replaced while a copy is made.
        const val MAX_DEPARTED_STARTS = 8192
    }
}

/**
 * Difference between two reads of the registry.
 *
 * @property startedDraining endpoints that started to drain.
 */
public data class DirectoryChange(
    val added: List<RegisteredEndpoint>,
    val startedDraining: List<RegisteredEndpoint>,
    val removed: List<RegisteredEndpoint>,
)
