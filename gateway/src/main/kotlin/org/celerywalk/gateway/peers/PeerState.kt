package org.celerywalk.gateway.peers

import org.celerywalk.cache.CacheEvents
import org.celerywalk.endpoint.EndpointStart
import org.celerywalk.quarantine.PartEvidence
import org.celerywalk.rollout.RolloutReport
import org.celerywalk.routing.RankedWork
import kotlin.time.Duration

/** Report that [holder] will soon hold prompt parts [partIds] of cache scope [scope]. */
internal data class PeerPlacement(val holder: String, val scope: String, val partIds: List<String>)

/**
 * State that a gateway reports to the others in one message.
 *
 * @property sender instance name of the sending gateway.
 * @property number number of the message, counted by its sender.
 * @property isComplete true if [quotas], [work] and [versions] hold everything; false if they hold only what has
 *   changed since the last message.
 * @property lastNumbers number of the last message that the sender has received from each gateway.
 * @property configuration version of the active configuration, or null if there is none.
 * @property configurationChecksum tells contents of [configuration] apart, null if the sender does not tell it.
 * @property confirmationAge time since the store confirmed [configuration], or null if it never did.
 * @property quotas total admitted cost by client account.
 * @property work work of the sender's own calls by endpoint and rank.
 * @property versions weights versions by endpoint and model that are newer than in the registry.
 * @property changingEndpoints replicas with a pending weight order of the sender.
 * @property ejectedEndpoints endpoints that the sender has ejected because of its own calls.
 * @property weightAges time since the publication of each version by model.
 * @property placements prompts that the sender has placed since its last message; not repeated.
 * @property cacheEvents events of the caches that the sender reads, by holder; without events, its position in them.
 * @property suspectParts what the sender knows of prompt parts under which endpoints crashed.
 * @property leavingEndpoints endpoints that have told the sender that they are leaving.
 * @property rollouts what the sender knows of roll-outs, by service.
 * @property holdsLease true if the sender holds the lease for weight orders.
 */
internal data class PeerState(
    val sender: String,
    val number: Long,
    val isComplete: Boolean = true,
    val lastNumbers: Map<String, Long> = emptyMap(),
    val configuration: Long? = null,
    val configurationChecksum: Long? = null,
    val confirmationAge: Duration? = null,
    val quotas: Map<String, Long> = emptyMap(),
    val work: Map<String, RankedWork> = emptyMap(),
    val versions: Map<String, Map<String, Int>> = emptyMap(),
    val changingEndpoints: Set<String> = emptySet(),
    val ejectedEndpoints: Set<String> = emptySet(),
    val weightAges: Map<String, Map<Int, Duration>> = emptyMap(),
    val placements: List<PeerPlacement> = emptyList(),
    val cacheEvents: Map<String, CacheEvents> = emptyMap(),
    val suspectParts: Map<String, PartEvidence> = emptyMap(),
    val leavingEndpoints: Set<EndpointStart> = emptySet(),
    val holdsLease: Boolean = false,
    val rollouts: Map<String, RolloutReport> = emptyMap(),
) {
    /**
     * Returns this complete state without what [previous], the complete state of the last message, had already, and
     * without what only complete messages report.
     */
    fun changesSince(previous: PeerState): PeerState = copy(
        isComplete = false,
        lastNumbers = emptyMap(),
        configuration = null,
        configurationChecksum = null,
        confirmationAge = null,
        quotas = quotas.changesSince(previous.quotas),
        work = work.changesSince(previous.work) +
            (previous.work.keys - work.keys).associateWith { RankedWork() },
        versions = versions.changesSince(previous.versions),
        weightAges = emptyMap(),
        leavingEndpoints = leavingEndpoints - previous.leavingEndpoints,
        rollouts = rollouts.changesSince(previous.rollouts),
    )

    private fun <V> Map<String, V>.changesSince(previous: Map<String, V>): Map<String, V> =
        filter { (key, value) -> previous[key] != value }
}
