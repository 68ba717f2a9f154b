package org.celerywalk.gateway.peers

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.GatewaySettings
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.platform.wire.AddressFormat
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Discovers the other gateways through the platform's table and records when each last sent a message. */
internal class Membership(
    private val settings: GatewaySettings,
    private val table: PlatformTable,
    private val timeSource: TimeSource,
    private val log: EventLog,
) : AutoCloseable {
    private class Member(val address: SocketAddress, @Volatile var lastHeardAt: TimeMark?) {
        fun isHeard(limit: Duration): Boolean = lastHeardAt?.let { it.elapsedNow() <= limit } ?: false
    }

    private val ownAddress = "${settings.callers.host}:${settings.peerPort}"
    private val members = ConcurrentHashMap<String, Member>()
    private val readTask = PeriodicTask("members", READ_DELAY, log, ::readMembers)

    /** Reads of the table in one era of the store. */
    private class Reads(private val isRestored: Boolean) {
        var count = 0

        val areFrequent: Boolean get() = count <= INITIAL_READS

        /** True while gateways that the table lacks may not have registered again. */
        val mayLackMembers: Boolean get() = isRestored && areFrequent
    }

    private val reads by table.era.scoped(::Reads)

    fun start() {
        readTask.start()
    }

    /** Removes this process from the table, at a planned stop. */
    fun leave() {
        readTask.close()
        table.remove(MEMBERS_TABLE, settings.instance, CALL_TIMEOUT).onLeft {
            log.write("member_leave_failed", "step" to it.step, "peer" to it.peer, "cause" to it.message)
        }
    }

    override fun close() {
        readTask.close()
    }

    /** Addresses of the other gateways. */
    val peerAddresses: List<SocketAddress> get() = members.values.map { it.address }

    /** Time since each other gateway was heard, infinite if it never was. */
    val silence: Map<String, Duration>
        get() = members.mapValues { (_, member) -> member.lastHeardAt?.elapsedNow() ?: Duration.INFINITE }

    /** Number of gateways, including this one. */
    val gatewayCount: Int get() = members.size + 1

    /** Records a message of gateway [peer], sent from [address]. */
    fun recordMessage(peer: String, address: SocketAddress) {
        update(peer, address)
        members[peer]?.lastHeardAt = timeSource.markNow()
    }

    /**
     * Share of each quota, from 0 to 1, that this gateway and the gateways that it hears from may use together. The
     * remainder is left to gateways that became silent in the last 30 s, since they may still be serving.
     */
    @Volatile
    var quotaShare: Double = 1.0
        private set

    /** Names of the other gateways that this gateway hears from. */
    @Volatile
    var reachablePeers: Set<String> = emptySet()
        private set

    /**
     * Updates [quotaShare] and [reachablePeers]; a gateway without a message for [silenceThreshold] counts as silent.
     *
     * The share is read several times for each request and message, so it is not computed there.
     */
    fun updateReachability(silenceThreshold: Duration) {
        val ages = members.mapNotNull { (name, member) -> member.lastHeardAt?.let { name to it.elapsedNow() } }
        reachablePeers = ages.filter { (_, age) -> age <= silenceThreshold }.map { (name, _) -> name }.toSet()
        val silentCount = ages.count { (_, age) -> age > silenceThreshold && age <= DEPARTURE_THRESHOLD }
        val reachableCount = reachablePeers.size + 1
        quotaShare = reachableCount.toDouble() / (reachableCount + silentCount)
    }

    private fun readMembers() {
        // Gateways that start later are discovered by their messages.
        val reads = reads
        if (!reads.areFrequent && ++reads.count % RUNS_PER_READ != 0) return
        table.read(MEMBERS_TABLE, CALL_TIMEOUT).fold(
            { log.write("members_unread", "step" to it.step, "peer" to it.peer, "cause" to it.message) },
            { reading ->
                val rows = reading.rows.associate { it.key to it.value.decodeToString() }
                members.entries.removeIf { (name, member) ->
                    name !in rows && !(reads.mayLackMembers && member.isHeard(DEPARTURE_THRESHOLD))
                }
                if (reads.areFrequent) reads.count++
                rows.filterKeys { it != settings.instance }.forEach { (name, address) -> update(name, address) }
                if (rows[settings.instance] != ownAddress) register()
            },
        )
    }

    private fun update(name: String, addressText: String) {
        val address = addressText.takeIf(AddressFormat::isValid)?.let(SocketAddress::parse)
        if (address == null) {
            log.write("row_unreadable", "table" to MEMBERS_TABLE, "key" to name)
        } else {
            update(name, address)
        }
    }

    private fun update(name: String, address: SocketAddress) {
        if (members[name]?.address != address) {
            log.write("member_found", "peer" to name, "address" to address)
            members[name] = Member(address, null)
        }
    }

    private fun register() {
        table.write(RowWrite(MEMBERS_TABLE, settings.instance, ownAddress.toByteArray(), null), CALL_TIMEOUT).fold(
            { log.write("member_register_failed", "step" to it.step, "peer" to it.peer, "cause" to it.message) },
            { log.write("member_registered", "address" to ownAddress) },
        )
    }

    private companion object {
        const val MEMBERS_TABLE = "gateways"
        val READ_DELAY = 2.seconds
        const val INITIAL_READS = 3
        const val RUNS_PER_READ = 5
        val CALL_TIMEOUT = 900.milliseconds

        // A gateway that cannot reach the store stops serving requests with API keys long before this time.
        val DEPARTURE_THRESHOLD = 30.seconds
    }
}
