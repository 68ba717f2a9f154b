package org.celerywalk.sync

import org.celerywalk.endpoint.agentStart
import org.celerywalk.instance.Backoff
import org.celerywalk.instance.Member
import org.celerywalk.instance.Membership
import org.celerywalk.instance.PeerSelector
import org.celerywalk.instance.Role
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges configuration versions and withdrawn keys with other processes by gossip.
 *
 * All functions are called on the executor of [SyncContext].
 */
internal class PeerSync(private val context: SyncContext, private val adoption: ConfigurationAdoption) {
    private val membership = Membership(context.identity, context.settingsPeers)
    private val peerSelector = PeerSelector(membership, context.random)
    private val pendingAddresses = mutableSetOf<String>()
    private val exchangeBackoff = Backoff(EXCHANGE_INTERVAL, EXCHANGE_INTERVAL, context.random)
    private val startBackoff = Backoff(START_INTERVAL, EXCHANGE_INTERVAL, context.random)

    /** gRPC addresses of the known entries; may be read on any thread. */
    @Volatile
    var entryAddresses = emptyList<String>()
        private set

    private var startRounds = 0
    private var lapseCount = 0
    private var hasReadInstanceList = false

    init {
        adoption.addListener { membership.updateFromConfiguration(it) }
    }

    /** Starts a round of exchanges and returns the delay until the next round. */
    fun exchange(): Duration {
        val freshness = context.freshness
        val members = if (freshness.isStartupComplete) {
            peerSelector.peersForRound(context.identity(), freshness.isTableReachable, context.withdrawnKeys.digest)
        } else {
            peerSelector.startupPeers()
        }
        members.forEach(::startExchange)
        updateFreshness()
        return if (freshness.isStartupComplete) exchangeBackoff.nextDelay(0) else startBackoff.nextDelay(startRounds++)
    }

    /** Reads the instance list and returns the delay until the next read. */
    fun readInstanceList(): Duration {
        context.instances.list().whenCompleteAsync({ result, _ ->
            result.onRight(membership::updateFromInstanceList)
            hasReadInstanceList = true
            updateFreshness()
        }, context.executor)
        return Backoff(INSTANCE_LIST_INTERVAL, INSTANCE_LIST_INTERVAL, context.random).nextDelay(0)
    }

    /** Sends newly received withdrawn keys to the members that may not know them. */
    fun sendWithdrawnKeys() {
        if (context.identity().role == Role.ENTRY) {
            peerSelector.peersWithOtherDigest(context.withdrawnKeys.digest).forEach(::startExchange)
        }
    }

    /**
     * Notifies peers at once of what only this process may know: a version, because the table can fail after the
     * commit, or that it stops.
     */
    fun notifyPeers(): Unit = peerSelector.peersToNotify().forEach(::startExchange)

    /**
     * Handles the state that another process sent with [query].
     *
     * @param hasNewWithdrawnKeys true if the query contained withdrawn keys that were not known here.
     */
    fun handleQuery(query: ExchangeQuery, hasNewWithdrawnKeys: Boolean) {
        membership.recordContact(query.sender, query.withdrawnDigest)
        if (hasNewWithdrawnKeys) sendWithdrawnKeys()
        if (query.version > context.state.document.version) fetchSections(query.sender.address) {}
    }

    private fun startExchange(member: Member) {
        if (!pendingAddresses.add(member.address)) return
        val asOf = context.time.markNow()
        val digest = context.withdrawnKeys.digest
        val ids = if (member.withdrawnDigest == digest) emptySet() else context.withdrawnKeys.ids
        val stoppingAgents = context.endpointNotices.leavingStarts.map { it.id }.toSet()
        val query = ExchangeQuery(context.identity(), context.state.document.version, digest, ids, stoppingAgents)
        context.peers.exchange(member.address, query).whenCompleteAsync({ result, _ ->
            pendingAddresses -= member.address
            result.fold({ membership.recordFailure(member.address) }, { handleResponse(member.address, it, asOf) })
            updateFreshness()
        }, context.executor)
    }

    private fun handleResponse(address: String, response: ExchangeResponse, asOf: ComparableTimeMark) {
        membership.recordContact(response.receiver, response.withdrawnDigest)
        context.endpointNotices.mergeLeaving(response.stoppingAgents.map(::agentStart).toSet())
        if (context.withdrawnKeys.add(response.withdrawnKeyIds)) sendWithdrawnKeys()
        if (response.version > context.state.document.version) {
            fetchSections(address) { confirm(response, asOf) }
        } else {
            confirm(response, asOf)
        }
    }

    private fun fetchSections(address: String, onComplete: () -> Unit) {
        val knownVersions = context.state.document.sections.mapValues { it.value.version }
        context.peers.fetchSections(address, knownVersions).whenCompleteAsync({ result, _ ->
            result.onRight { (version, sections) -> adoption.adopt(context.state.mergeSections(version, sections)) }
            onComplete()
        }, context.executor)
    }

    /** Records [response] as a confirmation of the withdrawn keys if its configuration version is in force here. */
    private fun confirm(response: ExchangeResponse, asOf: ComparableTimeMark) {
        if (context.state.document.version < response.version) return
        response.tableAge?.let { context.freshness.recordTableConfirmation(asOf - it) }
        // A peer that reaches the table confirms only through the age of the table state that it has applied.
        if (!response.isTableReachable) context.freshness.recordPeerConfirmation(response.receiver.instance, asOf)
    }

    /** Reports membership and progress of the start to the freshness check; after a lapse, the start is repeated. */
    private fun updateFreshness() {
        context.freshness.recordOtherProcesses(membership.others.size)
        entryAddresses = membership.entries.filter { it.role == Role.ENTRY }.map { it.address }
        if (context.freshness.lapseCount != lapseCount && context.identity().role == Role.ENTRY) {
            lapseCount = context.freshness.lapseCount
            startRounds = 0
            membership.resetContacts()
            peerSelector.startupPeers().forEach(::startExchange)
        }
        if (hasReadInstanceList && peerSelector.isStartupComplete()) context.freshness.recordStartupComplete()
    }

    private companion object {
        // Backoff draws each delay between half and the whole of these values.
        val EXCHANGE_INTERVAL = 1_250.milliseconds
        val START_INTERVAL = 200.milliseconds
        val INSTANCE_LIST_INTERVAL = 10.seconds
    }
}
