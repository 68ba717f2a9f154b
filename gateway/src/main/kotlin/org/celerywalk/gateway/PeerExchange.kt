package org.celerywalk.gateway

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.platform.wire.JsonTree
import org.celerywalk.routing.EndpointWork
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
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges state with the other gateways over UDP: admitted quota, work at endpoints, weights versions and the age of
 * the last read of the store.
 *
 * Each message repeats the whole state, so lost messages need no retransmission. Placements are the exception: each is
 * sent once.
 */
internal class PeerExchange(
    private val state: FleetState,
    private val membership: Membership,
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val holdsLease: () -> Boolean,
) : AutoCloseable {
    private class Placement(val holder: String, val scope: String, val partIds: String)

    private val weightChangeTracker = WeightChangeTracker(state, log)
    private val ejections = PeerEjections(state, log)
    private val placements = MpscArrayQueue<Placement>(PLACEMENT_QUEUE_CAPACITY)
    private val socket = DatagramSocket(InetSocketAddress(state.settings.callers.host, state.settings.peerPort))
    private val sendTask = PeriodicTask("peers-send", SEND_DELAY, log, ::sendState)
    private val receiverThread = Thread(::receiveLoop, "peers-receive").apply { isDaemon = true }

    // Send times of this process's latest messages, by message number.
    private val sendTimes = LinkedHashMap<Long, ComparableTimeMark>()
    private val lastNumberByPeer = ConcurrentHashMap<String, Long>()
    private var lastSentNumber = 0L

    @Volatile
    private var peerLeaseReportedAt: ComparableTimeMark? = null

    @Volatile
    private var isOpen = true

    /** True if another gateway has recently reported that it holds the lease for weight orders. */
    val peerHoldsLease: Boolean get() = peerLeaseReportedAt?.let { it.elapsedNow() <= LEASE_REPORT_VALIDITY } ?: false

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

    private fun sendState() {
        val peers = membership.peerAddresses
        if (peers.isEmpty()) return
        val message = JsonTree.encode(stateMessage())
        peers.forEach { peer ->
            try {
                socket.send(DatagramPacket(message, message.size, InetAddress.getByName(peer.host), peer.port))
                metrics.recordPeerMessage("sent", message.size)
            } catch (e: IOException) {
                log.write("peer_send_failed", "peer" to peer, "cause" to e.message)
            }
        }
    }

    private fun stateMessage(): JsonNode {
        val root = JsonTree.objectNode().put(NAME, state.settings.instance)
        synchronized(sendTimes) {
            lastSentNumber++
            sendTimes[lastSentNumber] = state.timeSource.markNow()
            if (sendTimes.size > REMEMBERED_MESSAGES) sendTimes.remove(sendTimes.keys.first())
            root.put(NUMBER, lastSentNumber)
        }
        val lastNumbers = root.putObject(HEARD)
        lastNumberByPeer.forEach { (peer, lastNumber) -> lastNumbers.put(peer, lastNumber) }
        state.activeConfiguration?.let { root.put(CONFIGURATION, it.configuration.version) }
        state.confirmation.age()?.let { root.put(CONFIRMED, it.inWholeMilliseconds + 1) }
        val quotas = root.putObject(QUOTAS)
        state.quotas.forEach { (account, quota) -> quotas.put(account, quota.totalAdmittedCost.toLong()) }
        val work = root.putObject(WORK)
        val versions = root.putObject(VERSIONS)
        val models = state.newestWeights.map { it.model }
        state.loads.asMap().forEach { (endpoint, load) ->
            val ownWork = load.ownWork
            if (ownWork.calls > 0) PeerWorkCodec.encode(ownWork, work.putArray(endpoint))
            models.forEach { model ->
                load.version(model)?.let { version -> versions.withObjectProperty(endpoint).put(model, version) }
            }
        }
        val changing = root.putArray(CHANGING)
        state.loads.asMap().filterValues { it.hasPendingWeightOrder }.keys.forEach { changing.add(it) }
        val ejected = root.putArray(EJECTED)
        state.loads.asMap().filterValues { it.health.isEjected }.keys.forEach { ejected.add(it) }
        val weightAges = root.putObject(WEIGHT_AGES)
        models.forEach { state.weightHistoryOf(it).encodeAges(weightAges.putObject(it)) }
        val encodedPlacements = root.putArray(PLACED)
        placements.drain { encodedPlacements.addArray().add(it.holder).add(it.scope).add(it.partIds) }
        if (holdsLease()) root.put(LEASE, true)
        return root
    }

    /**
     * Queues the report that [holder] will soon hold prompt [parts] in its KV cache. The report is dropped if the queue
     * is full.
     */
    fun announcePlacement(holder: String, scope: CacheScope, parts: List<PromptPart>) {
        val partIds = parts.joinToString(",") { it.id }
        if (parts.isNotEmpty()) placements.offer(Placement(holder, scope.value, partIds))
    }

    private fun receiveLoop() {
        val buffer = ByteArray(MAX_MESSAGE_BYTES)
        while (isOpen) {
            val packet = DatagramPacket(buffer, buffer.size)
            try {
                socket.receive(packet)
                metrics.recordPeerMessage("received", packet.length)
                val root = JsonTree.parse(buffer, packet.length)
                if (root.path(NAME).isTextual) applyState(root, SocketAddress(packet.address.hostAddress, packet.port))
            } catch (e: JsonProcessingException) {
                log.write("peer_message_unreadable", "peer" to packet.address, "cause" to e.originalMessage)
            } catch (e: IOException) {
                if (isOpen) log.write("peer_receive_failed", "cause" to e.message)
            }
        }
    }

    private fun applyState(root: JsonNode, senderAddress: SocketAddress) {
        val peer = root.path(NAME).asText()
        lastNumberByPeer[peer] = root.path(NUMBER).asLong()
        membership.recordMessage(peer, senderAddress)
        root.path(QUOTAS).properties().forEach { (account, total) ->
            state.quotaOf(account).recordPeerTotal(peer, total.asDouble())
        }
        val work = root.path(WORK)
        state.loads.asMap().forEach { (endpoint, load) ->
            val encodedWork = work.path(endpoint)
            if (encodedWork.isArray) {
                load.recordPeerWork(peer, PeerWorkCodec.decode(encodedWork))
            } else {
                load.recordPeerWork(peer, EndpointWork())
            }
        }
        root.path(VERSIONS).properties().forEach { (endpoint, models) ->
            val load = state.loads.asMap()[endpoint]
            models.properties().forEach { (model, version) -> load?.recordWeightsVersion(model, version.asInt()) }
        }
        weightChangeTracker.handleAcceptedOrders(root.path(CHANGING).map { it.asText() }, CHANGE_REPORT_VALIDITY)
        ejections.recordPeerEjections(peer, root.path(EJECTED).map { it.asText() }.toSet())
        root.path(WEIGHT_AGES).properties().forEach { (model, ages) ->
            ages.properties().forEach { (version, age) -> recordWeightAge(model, version, age.asLong().milliseconds) }
        }
        root.path(PLACED).forEach { placement ->
            val (holder, scope, partIds) = placement.map { it.asText() }
            state.locations.recordSent(holder, CacheScope(scope), partIds.split(',').map { PromptPart(it, 0) })
        }
        if (root.has(LEASE)) peerLeaseReportedAt = state.timeSource.markNow()
        applyConfirmation(root)
    }

    // Only ages are taken from peers: a version counts as announced once this process itself has read it in the store.
    private fun recordWeightAge(model: String, version: String, age: Duration) {
        val versionNumber = version.toIntOrNull() ?: return
        val history = state.weightHistoryOf(model)
        if (versionNumber <= history.newestVersion) history.recordPublication(versionNumber, age)
    }

    /**
     * Applies the peer's confirmation of the configuration, if the peer has the same version of it.
     *
     * The peer sent this message after it had received the message of this process that it names. Its read of the store
     * is therefore at least as recent as the send time of that message minus the age in the peer's message.
     */
    private fun applyConfirmation(root: JsonNode) {
        val age = root.path(CONFIRMED)
        val heardSentAt = synchronized(sendTimes) { sendTimes[root.path(HEARD).path(state.settings.instance).asLong()] }
        val hasSameVersion = root.path(CONFIGURATION).asLong() == state.activeConfiguration?.configuration?.version
        if (age.isIntegralNumber && heardSentAt != null && hasSameVersion) {
            state.confirmation.confirm(heardSentAt - age.asLong().milliseconds)
        }
    }

    private companion object {
        const val NAME = "name"
        const val NUMBER = "number"
        const val HEARD = "heard"
        const val CONFIGURATION = "configuration"
        const val CONFIRMED = "confirmed"
        const val QUOTAS = "quotas"
        const val WORK = "work"
        const val VERSIONS = "versions"
        const val CHANGING = "changing"
        const val EJECTED = "ejected"
        const val PLACED = "placed"
        const val LEASE = "lease"
        const val WEIGHT_AGES = "weight-ages"
        const val PLACEMENT_QUEUE_CAPACITY = 256
        const val MAX_MESSAGE_BYTES = 60_000
        const val REMEMBERED_MESSAGES = 64

        // Limits how far a client account that sends at many times its rate gets beyond its burst before all gateways
        // have the reports of its cost.
        val SEND_DELAY = 100.milliseconds
        val CHANGE_REPORT_VALIDITY = 400.milliseconds
        val LEASE_REPORT_VALIDITY = 600.milliseconds
    }
}

private fun WeightHistory.encodeAges(target: ObjectNode) = versionAges().entries.toList().takeLast(MAX_AGES_PER_MODEL)
    .forEach { (version, age) -> target.put(version.toString(), age.inWholeMilliseconds) }

// Earlier versions may no longer serve requests.
private const val MAX_AGES_PER_MODEL = 4
