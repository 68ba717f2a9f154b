package org.celerywalk.gateway

import com.fasterxml.jackson.core.JsonProcessingException
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.instance.ExchangeTiming
import org.celerywalk.weights.WeightHistory
import org.jctools.queues.MpscArrayQueue
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * Exchanges state with the other gateways over UDP: admitted quota, work at endpoints, weights versions and the age of
 * the last read of the store.
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
    private val holdsLease: () -> Boolean,
) : AutoCloseable {
    private val timing = ExchangeTiming { membership.gatewayCount }
    private val receiver = PeerStateReceiver(state, membership, timing, log, cacheEvents::applyReport) { number ->
        synchronized(sendTimes) { sendTimes[number] }
    }
    private val placements = MpscArrayQueue<PeerPlacement>(PLACEMENT_QUEUE_CAPACITY)
    private val socket = DatagramSocket(InetSocketAddress(state.settings.callers.host, state.settings.peerPort))
    private val sendTask = PeriodicTask("peers-send", timing::interval, log, ::sendState)
    private val receiverThread = Thread(::receiveLoop, "peers-receive").apply { isDaemon = true }

    // Send times of this process's latest messages, by message number.
    private val sendTimes = LinkedHashMap<Long, ComparableTimeMark>()
    private val lastNumberByPeer = ConcurrentHashMap<String, Long>()
    private var lastSentNumber = 0L
    private var lastSentState: PeerState? = null
    private var completeStateSentAt: ComparableTimeMark? = null

    @Volatile
    private var isOpen = true

    /** True if another gateway has recently reported that it holds the lease for weight orders. */
    val peerHoldsLease: Boolean get() = receiver.peerHoldsLease

    fun start() {
        receiverThread.start()
        sendTask.start()
    }

    /** Sends a message without waiting for the next interval, after a change that the peers should react to. */
    fun sendSoon() {
        sendTask.runSoon()
    }

    override fun close() {
        isOpen = false
        sendTask.close()
        socket.close()
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
        val message = PeerStateCodec.encode(nextMessage())
        peers.forEach { peer ->
            try {
                socket.send(DatagramPacket(message, message.size, InetAddress.getByName(peer.host), peer.port))
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
        val isComplete = previousState == null || completeSentAt == null ||
            completeSentAt.elapsedNow() >= timing.completeStateInterval
        // Positions are taken before the reports, so that no position is ahead of the events that were reported.
        val positions = if (isComplete) cacheEvents.positions() else emptyMap()
        if (isComplete) completeStateSentAt = state.timeSource.markNow()
        val message = if (isComplete) currentState else currentState.changesSince(checkNotNull(previousState))
        return message.copy(cacheEvents = positions + cacheEvents.takeReports())
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
            confirmationAge = state.confirmation.age(),
            quotas = state.quotas.mapValues { (_, quota) -> quota.totalAdmittedCost.toLong() },
            work = loads.mapValues { (_, load) -> load.ownWork }.filterValues { it.calls > 0 },
            versions = loads.mapValues { (_, load) -> load.versions(models) }.filterValues { it.isNotEmpty() },
            changingEndpoints = loads.filterValues { it.hasPendingWeightOrder }.keys.toSet(),
            ejectedEndpoints = loads.filterValues { it.health.isEjected }.keys.toSet(),
            weightAges = models.associateWith { state.weightHistoryOf(it).latestVersionAges() },
            placements = buildList { placements.drain(::add) },
            holdsLease = holdsLease(),
        )
    }

    private fun receiveLoop() {
        val buffer = ByteArray(MAX_MESSAGE_BYTES)
        while (isOpen) {
            val packet = DatagramPacket(buffer, buffer.size)
            try {
                socket.receive(packet)
                metrics.recordPeerMessage("received", packet.length)
                PeerStateCodec.decode(buffer, packet.length)?.let { message ->
                    lastNumberByPeer[message.sender] = message.number
                    receiver.apply(message, SocketAddress(packet.address.hostAddress, packet.port))
                }
            } catch (e: JsonProcessingException) {
                log.write("peer_message_unreadable", "peer" to packet.address, "cause" to e.originalMessage)
            } catch (e: IOException) {
                if (isOpen) log.write("peer_receive_failed", "cause" to e.message)
            }
        }
    }

    private companion object {
        const val PLACEMENT_QUEUE_CAPACITY = 256
        const val MAX_MESSAGE_BYTES = 60_000
        const val REMEMBERED_MESSAGES = 64
    }
}

// Earlier versions may no longer serve requests.
private fun WeightHistory.latestVersionAges(): Map<Int, Duration> =
    versionAges().entries.toList().takeLast(MAX_AGES_PER_MODEL).associate { (version, age) -> version to age }

private const val MAX_AGES_PER_MODEL = 4
