package org.celerywalk.endpoint

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Holds the endpoints that may be called, from successive readings of the platform's registry.
 *
 * Registrations may lapse while the registry is away, and return shortly after it. An endpoint that is missing after an
 * outage therefore stays until [returnTime] has passed since the first reading. An endpoint that crashed stays
 * registered for some seconds; it is gone as soon as a later start of its service registers its address. Safe for use
 * from several threads.
 *
 * @param outageAfter time without a reading that counts as an outage.
 */
public class EndpointDirectory(
    private val timeSource: TimeSource.WithComparableMarks,
    private val outageAfter: Duration,
    private val returnTime: Duration,
) {
    private var known = emptyMap<String, RegisteredEndpoint>()
    private var lastReading: ComparableTimeMark? = null
    private var outageEnded: ComparableTimeMark? = null

    /** Endpoints by id, those that are leaving included. */
    public val endpoints: Map<String, RegisteredEndpoint>
        @Synchronized get() = known

    /** Returns the endpoints of [service] that take new work. */
    public fun serving(service: String): List<RegisteredEndpoint> =
        endpoints.values.filter { it.service == service && !it.leaving }

    /** Replaces the known endpoints by a reading and returns what changed. */
    @Synchronized
    public fun read(entries: List<RegisteredEndpoint>): DirectoryChange {
        val last = lastReading
        if (last != null && last.elapsedNow() > outageAfter) outageEnded = timeSource.markNow()
        lastReading = timeSource.markNow()
        val returning = outageEnded?.let { it.elapsedNow() <= returnTime } ?: false
        val read = entries.associateBy { it.id }
        val kept = if (returning) known.filterKeys { it !in read } else emptyMap()
        val before = known
        known = withoutReplaced(read + kept)
        return DirectoryChange(
            added = known.values.filter { it.id !in before },
            left = known.values.filter { it.leaving && before[it.id]?.leaving == false },
            removed = before.values.filter { it.id !in known },
        )
    }

    // The registry has other writers too: an entry of a service that does not exist displaces nothing.
    private fun withoutReplaced(endpoints: Map<String, RegisteredEndpoint>): Map<String, RegisteredEndpoint> {
        val latestStarts = HashMap<Pair<String, String>, Long>()
        endpoints.values.forEach { endpoint ->
            endpoint.startedAtMillis?.let { latestStarts.merge(endpoint.service to endpoint.address, it, ::maxOf) }
        }
        return endpoints.filterValues {
            it.startedAtMillis == null || it.startedAtMillis == latestStarts[it.service to it.address]
        }
    }
}

/** Lists the endpoints that a reading added, showed as leaving, or no longer names. */
public data class DirectoryChange(
    val added: List<RegisteredEndpoint>,
    val left: List<RegisteredEndpoint>,
    val removed: List<RegisteredEndpoint>,
)
