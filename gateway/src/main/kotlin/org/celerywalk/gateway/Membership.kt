package org.celerywalk.gateway

import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RowWrite
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Finds the other gateways through the platform's table, and knows which of them are heard. */
internal class Membership(
    private val settings: GatewaySettings,
    private val table: PlatformTable,
    private val timeSource: TimeSource,
    private val log: EventLog,
) : AutoCloseable {
    private class Member(val address: SocketAddress, var heardAt: TimeMark?)

    private val own = "${settings.callers.host}:${settings.peerPort}"
    private val members = ConcurrentHashMap<String, Member>()
    private val duty = PeriodicDuty("members", READ_PERIOD, log, ::read)
    private var reads = 0

    fun start() {
        duty.start()
    }

    /** Removes this process from the table, at a planned stop. */
    fun leave() {
        duty.close()
        table.remove(MEMBERS_TABLE, settings.instance, CALL_TIMEOUT).onLeft {
            log.write("member_leave_failed", "step" to it.step, "peer" to it.peer, "cause" to it.message)
        }
    }

    override fun close() {
        duty.close()
    }

    /** Addresses of the other gateways. */
    val others: List<SocketAddress> get() = members.values.map { it.address }

    /** Number of gateways, this one included. */
    val count: Int get() = members.size + 1

    /** Records a message of gateway [peer] from [address]. */
    fun heard(peer: String, address: SocketAddress) {
        update(peer, address)
        members[peer]?.heardAt = timeSource.markNow()
    }

    /** Part of a quota that the gateways in contact may use: those not heard for a while may still be serving. */
    fun quotaShare(): Double {
        val ages = members.values.mapNotNull { it.heardAt?.elapsedNow() }
        val heard = ages.count { it <= SILENT_AFTER } + 1
        val silent = ages.count { it > SILENT_AFTER && it <= GONE_AFTER }
        return heard.toDouble() / (heard + silent)
    }

    private fun read() {
        // Gateways that start later announce themselves by their messages.
        if (reads++ > EARLY_READS && reads % LATER_STRIDE != 0) return
        table.read(MEMBERS_TABLE, CALL_TIMEOUT).fold(
            { log.write("members_unread", "step" to it.step, "peer" to it.peer, "cause" to it.message) },
            { reading ->
                val rows = reading.rows.associate { it.key to it.value.decodeToString() }
                members.keys.retainAll(rows.keys)
                rows.filterKeys { it != settings.instance }.forEach { (name, address) -> update(name, address) }
                if (rows[settings.instance] != own) register()
            },
        )
    }

    private fun update(name: String, text: String) {
        val address = SocketAddress.parse(text)
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
        table.write(RowWrite(MEMBERS_TABLE, settings.instance, own.toByteArray(), null), CALL_TIMEOUT).fold(
            { log.write("member_register_failed", "step" to it.step, "peer" to it.peer, "cause" to it.message) },
            { log.write("member_registered", "address" to own) },
        )
    }

    private companion object {
        const val MEMBERS_TABLE = "gateways"
        val READ_PERIOD = 2.seconds
        const val EARLY_READS = 3
        const val LATER_STRIDE = 5
        val CALL_TIMEOUT = 900.milliseconds

        // Several intervals of the exchange.
        val SILENT_AFTER = 1.seconds

        // A gateway without contact to the store stops serving keyed requests long before.
        val GONE_AFTER = 30.seconds
    }
}
