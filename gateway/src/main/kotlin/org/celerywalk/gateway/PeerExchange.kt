package org.celerywalk.gateway

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.platform.wire.JsonTree
import org.celerywalk.routing.EndpointWork
import org.celerywalk.weights.NamedHistory
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
 * Exchanges beliefs with the other gateways over UDP: admitted quota, work at endpoints, weights versions and how
 * recently the store was read.
 *
 * Every message repeats the whole state, so a lost one needs no repetition.
 */
internal class PeerExchange(
    private val state: FleetState,
    private val membership: Membership,
    private val log: EventLog,
    private val holdsLease: () -> Boolean,
) : AutoCloseable {
    private class PlacedParts(val holder: String, val scope: String, val parts: String)

    private val weightChanges = WeightChanges(state, log)
    private val ejections = PeerEjections(state, log)
    private val placements = MpscArrayQueue<PlacedParts>(PLACEMENTS_PER_MESSAGE)
    private val socket = DatagramSocket(InetSocketAddress(state.settings.callers.host, state.settings.peerPort))
    private val sender = PeriodicDuty("peers-send", SEND_PERIOD, log, ::send)
    private val receiver = Thread(::receive, "peers-receive").apply { isDaemon = true }

    // When each of this process's latest messages was sent, by number.
    private val sentAt = LinkedHashMap<Long, ComparableTimeMark>()
    private val lastHeard = ConcurrentHashMap<String, Long>()
    private var number = 0L

    @Volatile
    private var leaseHeardAt: ComparableTimeMark? = null

    @Volatile
    private var open = true

    /** True if another gateway has said recently that it gives the orders. */
    val leaseIsElsewhere: Boolean get() = leaseHeardAt?.let { it.elapsedNow() <= LEASE_REPORT_HOLDS } ?: false

    fun start() {
        receiver.start()
        sender.start()
    }

    /** Tells the others soon about a change that they should act on. */
    fun tellSoon() {
        sender.runSoon()
    }

    override fun close() {
        open = false
        sender.close()
        socket.close()
    }

    private fun send() {
        val peers = membership.others
        if (peers.isEmpty()) return
        val message = JsonTree.encode(message())
        peers.forEach { peer ->
            try {
                socket.send(DatagramPacket(message, message.size, InetAddress.getByName(peer.host), peer.port))
            } catch (e: IOException) {
                log.write("peer_send_failed", "peer" to peer, "cause" to e.message)
            }
        }
    }

    private fun message(): JsonNode {
        val root = JsonTree.objectNode().put(NAME, state.settings.instance)
        synchronized(sentAt) {
            number++
            sentAt[number] = state.timeSource.markNow()
            if (sentAt.size > REMEMBERED_MESSAGES) sentAt.remove(sentAt.keys.first())
            root.put(NUMBER, number)
        }
        val heard = root.putObject(HEARD)
        lastHeard.forEach { (peer, last) -> heard.put(peer, last) }
        state.active?.let { root.put(CONFIGURATION, it.configuration.version) }
        state.confirmation.age()?.let { root.put(CONFIRMED, it.inWholeMilliseconds + 1) }
        val quotas = root.putObject(QUOTAS)
        state.quotas.forEach { (account, quota) -> quotas.put(account, quota.totalAdmittedCost.toLong()) }
        val work = root.putObject(WORK)
        val versions = root.putObject(VERSIONS)
        val models = state.weights.map { it.model }
        state.loads.all().forEach { (endpoint, load) ->
            val own = load.ownWork
            if (own.calls > 0) PeerWork.encode(own, work.putArray(endpoint))
            models.forEach { model ->
                load.version(model)?.let { version -> versions.withObjectProperty(endpoint).put(model, version) }
            }
        }
        val changing = root.putArray(CHANGING)
        state.loads.all().filterValues { it.hasPendingWeightOrder }.keys.forEach { changing.add(it) }
        val ejected = root.putArray(EJECTED)
        state.loads.all().filterValues { it.health.ejected }.keys.forEach { ejected.add(it) }
        val ages = root.putObject(WEIGHT_AGES)
        models.forEach { state.weightsOf(it).encodeAges(ages.putObject(it)) }
        val placed = root.putArray(PLACED)
        placements.drain { placed.addArray().add(it.holder).add(it.scope).add(it.parts) }
        if (holdsLease()) root.put(LEASE, true)
        return root
    }

    /** Tells the others that the parts of a prompt will be kept by a holder. */
    fun placed(holder: String, scope: CacheScope, parts: List<PromptPart>) {
        val names = parts.joinToString(",") { it.id }
        if (parts.isNotEmpty()) placements.offer(PlacedParts(holder, scope.text, names))
    }

    private fun receive() {
        val buffer = ByteArray(MAX_MESSAGE_BYTES)
        while (open) {
            val packet = DatagramPacket(buffer, buffer.size)
            try {
                socket.receive(packet)
                val root = JsonTree.parse(buffer, packet.length)
                if (root.path(NAME).isTextual) apply(root, SocketAddress(packet.address.hostAddress, packet.port))
            } catch (e: JsonProcessingException) {
                log.write("peer_message_unreadable", "peer" to packet.address, "cause" to e.originalMessage)
            } catch (e: IOException) {
                if (open) log.write("peer_receive_failed", "cause" to e.message)
            }
        }
    }

    private fun apply(root: JsonNode, from: SocketAddress) {
        val peer = root.path(NAME).asText()
        lastHeard[peer] = root.path(NUMBER).asLong()
        membership.heard(peer, from)
        root.path(QUOTAS).properties().forEach { (account, total) ->
            state.quotaOf(account).reported(peer, total.asDouble())
        }
        val work = root.path(WORK)
        state.loads.all().forEach { (endpoint, load) ->
            val reported = work.path(endpoint)
            if (reported.isArray) {
                load.reported(peer, PeerWork.decode(reported))
            } else {
                load.reported(peer, EndpointWork())
            }
        }
        root.path(VERSIONS).properties().forEach { (endpoint, models) ->
            val load = state.loads.all()[endpoint]
            models.properties().forEach { (model, version) -> load?.recordWeightsVersion(model, version.asInt()) }
        }
        weightChanges.begun(root.path(CHANGING).map { it.asText() }, CHANGE_REPORT_HOLDS)
        ejections.reported(peer, root.path(EJECTED).map { it.asText() }.toSet())
        root.path(WEIGHT_AGES).properties().forEach { (model, ages) ->
            ages.properties().forEach { (version, age) -> aged(model, version, age.asLong().milliseconds) }
        }
        root.path(PLACED).forEach { placed ->
            val (holder, scope, parts) = placed.map { it.asText() }
            state.locations.sent(holder, CacheScope(scope), parts.split(',').map { PromptPart(it, 0) })
        }
        if (root.has(LEASE)) leaseHeardAt = state.timeSource.markNow()
        confirm(root)
    }

    // Only ages are taken over: a name counts once this process has read it itself.
    private fun aged(model: String, version: String, age: Duration) {
        val number = version.toIntOrNull() ?: return
        val history = state.weightsOf(model)
        if (number <= history.newest) history.name(number, age)
    }

    /**
     * A peer's confirmation counts for the same version of the configuration. The peer sent this message after it had
     * heard the message that it names, so its reading of the store is at least as recent as that message less its age.
     */
    private fun confirm(root: JsonNode) {
        val age = root.path(CONFIRMED)
        val heard = synchronized(sentAt) { sentAt[root.path(HEARD).path(state.settings.instance).asLong()] }
        val same = root.path(CONFIGURATION).asLong() == state.active?.configuration?.version
        if (age.isIntegralNumber && heard != null && same) {
            state.confirmation.confirm(heard - age.asLong().milliseconds)
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
        const val PLACEMENTS_PER_MESSAGE = 256
        const val MAX_MESSAGE_BYTES = 60_000
        const val REMEMBERED_MESSAGES = 64

        // An account that sends many times its rate must not get far beyond its burst before all gateways know.
        val SEND_PERIOD = 100.milliseconds
        val CHANGE_REPORT_HOLDS = 400.milliseconds
        val LEASE_REPORT_HOLDS = 600.milliseconds
    }
}

private fun NamedHistory.encodeAges(to: ObjectNode) = ages().entries.toList().takeLast(AGES_PER_MODEL)
    .forEach { (version, age) -> to.put(version.toString(), age.inWholeMilliseconds) }

// Versions that were named before these can no longer serve.
private const val AGES_PER_MODEL = 4
