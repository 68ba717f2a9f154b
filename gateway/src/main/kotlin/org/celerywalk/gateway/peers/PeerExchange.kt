package org.celerywalk.gateway.peers

import com.fasterxml.jackson.core.JsonProcessingException
import org.celerywalk.cache.CacheEvents
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.endpoints.CacheEventSubscriptions
import org.celerywalk.instance.ExchangeTiming
import org.celerywalk.rollout.RolloutReport
import org.celerywalk.weights.WeightHistory
import org.jctools.queues.MpscArrayQueue
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.DatagramChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.zip.DataFormatException
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Connects the exchange between gateways with this gateway's use of the store. */
internal interface StoreLink {
    /** Returns true if this gateway holds the lease for weight orders. */
    fun holdsLease(): Boolean

    /** Returns what this gateway reports about roll-outs, by service. */
    fun rolloutReports(): Map<String, RolloutReport> = emptyMap()

    /** Reads the store soon, since a peer has read something newer. */
    fun readSoon()
}

/**
 * Exchanges state with the other gateways over UDP: admitted quota, work at endpoints, weights versions, suspect prompt
 * parts and the age of the last read of the store.
 *
 * Most messages contain only changes. Complete messages in between make up for lost ones, except for placements, each
 * of which is sent once.
 */
internal class PeerExchange(
    private val state: FleetState,
    private val membership: Membership,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val cacheEvents: CacheEventSubscriptions,
    private val store: StoreLink,
) : AutoCloseable {
    private val timing = ExchangeTiming { membership.gatewayCount }
    private val receiver = PeerStateReceiver(state, membership, timing, log, ReceivedEvents()) {
        synchronized(sendTimes) { sendTimes[it] }
    }
    private val placements = MpscArrayQueue<PeerPlacement>(PLACEMENT_QUEUE_CAPACITY)
    private val channel = DatagramChannel.open()
        .bind(InetSocketAddress(state.settings.callers.host, state.settings.peerPort))
        .apply { configureBlocking(false) }
    private val sendCompressor = PeerMessageCompressor()
    private val receiveCompressor = PeerMessageCompressor()
    private val receiveBuffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES)
    private val sendTask = PeriodicTask("peers-send", timing::interval, log, ::sendState)

    // A thread that waits for each message would wake up for each, which takes more time than the message itself.
    private val receiveTask = PeriodicTask("peers-receive", RECEIVE_DELAY, log, ::receivePending)

    // Send times of this process's latest messages, by message number.
    private val sendTimes = LinkedHashMap<Long, ComparableTimeMark>()
    private val lastNumberByPeer = ConcurrentHashMap<String, Long>()

    // Starts at a random number, so that a message for the previous process of this gateway names none of this process.
    private var lastSentNumber = Random.nextLong(MAX_FIRST_NUMBER)
    private var lastSentState: PeerState? = null
    private var lastSentEvidenceRevision = 0L
    private var completeStateSentAt: ComparableTimeMark? = null

    @Volatile
    private var isCompleteStateDue = false

    /** True if another gateway has recently reported that it holds the lease for weight orders. */
    val peerHoldsLease: Boolean get() = receiver.peerHoldsLease

    fun start() {
        receiveTask.start()
        sendTask.start()
    }

    /**
     * Sends a message without waiting for the next interval, after a change that the peers should react to.
     *
     * @param isComplete true to send the whole state.
     */
    fun sendSoon(isComplete: Boolean = false) {
        if (isComplete) isCompleteStateDue = true
        sendTask.runSoon()
    }

    override fun close() {
        receiveTask.close()
        sendTask.close()
        channel.close()
    }

    /**
     * Queues the report that [holder] will soon hold prompt [parts] in its KV cache. The report is dropped if the queue
     * is full.
     */
    fun announcePlacement(holder: String, scope: CacheScope, parts: List<PromptPart>) {
        if (parts.isNotEmpty()) placements.offer(PeerPlacement(holder, scope.value, parts.map { it.id }))
    }

    private fun sendState() {
        membership.updateReachability(timing.silenceThreshold)
        state.loads.expirePeerReports(timing.silenceThreshold)
        val peers = membership.peerAddresses
        if (peers.isEmpty()) return
        val message = sendCompressor.compress(PeerStateCodec.encode(nextMessage()))
        peers.forEach { peer ->
            try {
                channel.send(ByteBuffer.wrap(message), InetSocketAddress(peer.host, peer.port))
                metrics.recordPeerMessage("sent", message.size)
            } catch (e: IOException) {
                log.write("peer_send_failed", "peer" to peer, "cause" to e.message)
            }
        }
    }

    private fun nextMessage(): PeerState {
        val previousState = lastSentState
        val currentState = completeState()
        lastSentState = currentState
        val completeSentAt = completeStateSentAt
        val isComplete = isCompleteStateDue || previousState == null || completeSentAt == null ||
            completeSentAt.elapsedNow() >= timing.completeStateInterval
        // Positions are taken before the reports, so that no position is ahead of the events that were reported.
        val positions = if (isComplete) cacheEvents.positions() else emptyMap()
        if (isComplete) {
            completeStateSentAt = state.timeSource.markNow()
            isCompleteStateDue = false
        }
        val message = if (isComplete) currentState else currentState.changesSince(checkNotNull(previousState))
        return message.copy(
            cacheEvents = positions + cacheEvents.takeReports(),
            suspectParts = if (isComplete || hasNewEvidence()) state.quarantine.evidence() else emptyMap(),
        )
    }

    // The ages in the evidence differ in each message, so that changes are told by its revision.
    private fun hasNewEvidence(): Boolean {
        val revision = state.quarantine.revision
        return (revision != lastSentEvidenceRevision).also { lastSentEvidenceRevision = revision }
    }

    private fun completeState(): PeerState {
        synchronized(sendTimes) {
            lastSentNumber++
            sendTimes[lastSentNumber] = state.timeSource.markNow()
            if (sendTimes.size > REMEMBERED_MESSAGES) sendTimes.remove(sendTimes.keys.first())
        }
        val models = state.newestWeights.map { it.model }
        val loads = state.loads.asMap()
        return PeerState(
            sender = state.settings.instance,
            number = lastSentNumber,
            lastNumbers = lastNumberByPeer.toMap(),
            configuration = state.activeConfiguration?.configuration?.version,
            configurationChecksum = state.activeConfiguration?.checksum,
            confirmationAge = state.confirmation.age(),
            quotas = state.quotas.mapValues { (_, quota) -> quota.totalAdmittedCost.toLong() },
            work = loads.mapValues { (_, load) -> load.ownRankedWork }.filterValues { it.byRank.isNotEmpty() },
            versions = state.directory.endpoints
                .mapValues { (id, endpoint) -> unregisteredVersions(id, endpoint, models) }
                .filterValues { it.isNotEmpty() },
            changingEndpoints = loads.filterValues { it.hasPendingWeightOrder }.keys.toSet(),
            ejectedEndpoints = loads.filterValues { it.health.isEjectedByOwnCalls }.keys.toSet(),
            weightAges = models.associateWith { state.weightHistoryOf(it).latestVersionAges() },
            placements = buildList { placements.drain(::add) },
            leavingEndpoints = state.directory.notices.leavingStarts,
            holdsLease = store.holdsLease(),
            rollouts = store.rolloutReports(),
        )
    }

    // Weights versions that the registry does not show yet; the others learn the rest from the registry themselves.
    private fun unregisteredVersions(id: String, endpoint: RegisteredEndpoint, models: List<String>): Map<String, Int> =
        models.mapNotNull { model -> state.loads.getOrCreate(id).version(model)?.let { model to it } }
            .filter { (model, version) -> version > (endpoint.models[model] ?: 0) }.toMap()

    // The number of messages is limited, so that a flood of them does not keep this task from its other work.
    private fun receivePending() = repeat(MAX_MESSAGES_PER_RUN) {
        receiveBuffer.clear()
        val sender = channel.receive(receiveBuffer) as InetSocketAddress? ?: return
        metrics.recordPeerMessage("received", receiveBuffer.position())
        try {
            val bytes = receiveCompressor.decompress(receiveBuffer.array(), receiveBuffer.position())
            PeerStateCodec.decode(bytes, bytes.size)?.let { message ->
                lastNumberByPeer[message.sender] = message.number
                receiver.apply(message, SocketAddress(sender.address.hostAddress, sender.port))
            }
        } catch (e: JsonProcessingException) {
            log.write("peer_message_unreadable", "peer" to sender, "cause" to e.originalMessage)
        } catch (e: DataFormatException) {
            log.write("peer_message_unreadable", "peer" to sender, "cause" to e.message)
        }
    }

    private inner class ReceivedEvents : PeerEvents {
        override fun onCacheEvents(holder: String, events: CacheEvents) = cacheEvents.applyReport(holder, events)

        override fun onNewerStoreState() = store.readSoon()
    }

    private companion object {
        const val PLACEMENT_QUEUE_CAPACITY = 256
        const val MAX_MESSAGE_BYTES = 60_000
        const val REMEMBERED_MESSAGES = 64
        const val MAX_FIRST_NUMBER = 1_000_000L
        const val MAX_MESSAGES_PER_RUN = 1_000
        val RECEIVE_DELAY = 50.milliseconds
    }
}

// Earlier versions may no longer serve requests.
private fun WeightHistory.latestVersionAges(): Map<Int, Duration> =
    versionAges().entries.toList().takeLast(MAX_AGES_PER_MODEL).associate { (version, age) -> version to age }

private const val MAX_AGES_PER_MODEL = 4
