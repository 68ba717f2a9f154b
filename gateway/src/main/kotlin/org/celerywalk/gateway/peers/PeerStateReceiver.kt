package org.celerywalk.gateway.peers

import org.celerywalk.cache.CacheEvents
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.weights.WeightChangeTracker
import org.celerywalk.instance.ExchangeTiming
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.rollout.RolloutReport
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives what the messages of other gateways report beside their view of the fleet. */
internal interface PeerEvents {
    /** A peer has read [events] of the cache of [holder]. */
    fun onCacheEvents(holder: String, events: CacheEvents) = Unit

    /** A peer has read a newer configuration or newer weights in the store. */
    fun onNewerStoreState() = Unit
}

/**
 * Applies the messages of other gateways to this gateway's view of the fleet. Used by one thread.
 *
 * The time that a message takes must not grow with the number of gateways, endpoints or accounts, but only with what
 * the message reports.
 *
 * @param ownSendTime returns the time at which this process sent the message of a number, or null if unknown.
 */
internal class PeerStateReceiver(
    private val state: FleetState,
    private val membership: Membership,
    private val timing: ExchangeTiming,
    private val log: EventLog,
    private val events: PeerEvents,
    private val ownSendTime: (Long) -> ComparableTimeMark?,
) {
    private val weightChangeTracker = WeightChangeTracker(state, log)
    private val ejections = PeerEjections(state, log)

    @Volatile
    private var peerLeaseReportedAt: ComparableTimeMark? = null

    /** True if another gateway has recently reported that it holds the lease for weight orders. */
    val peerHoldsLease: Boolean
        get() = peerLeaseReportedAt
            ?.let { it.elapsedNow() <= maxOf(MIN_LEASE_REPORT_VALIDITY, timing.interval * REPORTED_INTERVALS) } ?: false

    /** Applies message [message], sent from [senderAddress]. */
    fun apply(message: PeerState, senderAddress: SocketAddress) {
        membership.recordMessage(message.sender, senderAddress)
        message.quotas.forEach { (account, total) ->
            state.quotaOf(account).recordPeerTotal(message.sender, total.toDouble())
        }
        state.loads.recordPeerReport(message.sender, message.work, message.isComplete)
        message.versions.forEach { (endpoint, versions) ->
            val load = state.loads.asMap()[endpoint]
            versions.forEach { (model, version) -> load?.recordWeightsVersion(model, version) }
        }
        val changeValidity = maxOf(MIN_CHANGE_REPORT_VALIDITY, timing.interval * REPORTED_INTERVALS)
        weightChangeTracker.handleAcceptedOrders(message.changingEndpoints.toList(), changeValidity)
        ejections.recordPeerEjections(message.sender, message.ejectedEndpoints)
        message.weightAges.forEach { (model, ages) ->
            ages.forEach { (version, age) -> recordWeightAge(model, version, age) }
        }
        message.placements.forEach { placement ->
            val parts = placement.partIds.map { PromptPart(it, 0) }
            state.locations.recordSent(placement.holder, CacheScope(placement.scope), parts)
        }
        message.cacheEvents.forEach(events::onCacheEvents)
        state.quarantine.merge(message.suspectParts).forEach {
            log.write("part_quarantined", "part" to it, "peer" to message.sender)
        }
        state.directory.notices.mergeLeaving(message.leavingEndpoints).forEach {
            log.write("endpoint_says_leaving", "endpoint" to it.id, "peer" to message.sender)
        }
        message.rollouts.forEach { (service, report) -> applyRollout(message.sender, service, report) }
        message.configuration?.let(state::recordPeerConfiguration)
        if (message.holdsLease) peerLeaseReportedAt = state.timeSource.markNow()
        applyConfirmation(message)
        if (namesNewerState(message)) events.onNewerStoreState()
    }

    private fun applyRollout(peer: String, service: String, report: RolloutReport) {
        if (state.rollouts?.merge(peer, report) != true) return
        val phase = RolloutDocument.phaseName(report.phase)
        log.write("rollout_phase", "service" to service, "to" to report.order.version, "phase" to phase, "peer" to peer)
    }

    private fun namesNewerState(message: PeerState): Boolean {
        val ownVersion = state.activeConfiguration?.configuration?.version
        val hasNewerConfiguration =
            message.configuration != null && (ownVersion == null || message.configuration > ownVersion)
        return hasNewerConfiguration || hasNewerContent(message) || message.weightAges.any { (model, ages) ->
            (ages.keys.maxOrNull() ?: 0) > state.weightHistoryOf(model).newestVersion
        }
    }

    // Of two contents of one version, that of the later read is newer. The store is not polled for as long as a peer
    // that is cut off from it keeps an earlier content.
    private fun hasNewerContent(message: PeerState): Boolean {
        val isOther = message.configuration == state.activeConfiguration?.configuration?.version &&
            !hasSameContent(message)
        val ownAge = state.confirmation.age() ?: Duration.INFINITE
        return isOther && message.confirmationAge != null && message.confirmationAge < ownAge
    }

    // Only ages are taken from peers: a version counts as announced once this process itself has read it in the store.
    private fun recordWeightAge(model: String, version: Int, age: Duration) {
        val history = state.weightHistoryOf(model)
        if (version <= history.newestVersion) history.recordPublication(version, age)
    }

    /**
     * Applies the peer's confirmation of the configuration, if the peer has the same version of it.
     *
     * The peer sent this message after it had received the message of this process that it names. Its read of the store
     * is therefore at least as recent as the send time of that message minus the age in the peer's message.
     */
    private fun applyConfirmation(message: PeerState) {
        val heardSentAt = message.lastNumbers[state.settings.instance]?.let(ownSendTime)
        val hasSameVersion = message.configuration != null &&
            message.configuration == state.activeConfiguration?.configuration?.version && hasSameContent(message)
        if (message.confirmationAge != null && heardSentAt != null && hasSameVersion) {
            state.confirmation.confirm(heardSentAt - message.confirmationAge)
        }
    }

    private fun hasSameContent(message: PeerState): Boolean = message.configurationChecksum == null ||
        message.configurationChecksum == state.activeConfiguration?.checksum

    private companion object {
        // A report counts until a few messages of its sender are missing.
        const val REPORTED_INTERVALS = 4
        val MIN_CHANGE_REPORT_VALIDITY = 400.milliseconds
        val MIN_LEASE_REPORT_VALIDITY = 600.milliseconds
    }
}
