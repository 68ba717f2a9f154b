package org.celerywalk.instance

import org.celerywalk.configuration.Configuration
import org.celerywalk.platform.ListedInstance

/**
 * Known processes of the system by the addresses of their gRPC servers.
 *
 * Addresses come from the settings, the instance list and the endpoints of the configuration. Processes that call this
 * one are added too, because the instance list lags. Used by one thread.
 *
 * @param self returns the identity of this process.
 * @param settingsPeers addresses (host and port) from the settings; they are never removed.
 */
public class Membership(private val self: () -> ProcessIdentity, private val settingsPeers: List<String>) {
    private val members = linkedMapOf<String, Member>()

    init {
        settingsPeers.forEach { addOrUpdate(Member(it)) }
    }

    /** All known processes except this one. */
    public val others: Collection<Member> get() = members.values.filter { it.address != self().address }

    /** Known processes except this one that are entries or whose role is not known yet. */
    public val entries: List<Member> get() = others.filter { it.role != Role.AGENT }

    /** Returns the member at [address], or null if it is unknown. */
    public fun at(address: String): Member? = members[address]

    /** Replaces the members of the previous instance list. */
    public fun updateFromInstanceList(instances: List<ListedInstance>) {
        val addresses = instances.map { it.address }.toSet()
        members.values.removeIf { it.source == AddressSource.LIST && it.address !in addresses }
        instances.forEach {
            val role = Role.entries.find { role -> role.name.equals(it.role, ignoreCase = true) }
            addOrUpdate(Member(it.address, role, it.dataCentre, AddressSource.LIST))
        }
    }

    /** Replaces the agents of the previous configuration. */
    public fun updateFromConfiguration(configuration: Configuration) {
        val endpoints = configuration.platform.endpoints
        val addresses = endpoints.map { it.address }.toSet()
        members.values.removeIf { it.source == AddressSource.CONFIGURATION && it.address !in addresses }
        endpoints.forEach { addOrUpdate(Member(it.address, Role.AGENT, it.dataCentre, AddressSource.CONFIGURATION)) }
    }

    /** Records an exchange with [identity], whose set of withdrawn keys has the digest [withdrawnDigest]. */
    public fun recordContact(identity: ProcessIdentity, withdrawnDigest: Long) {
        addOrUpdate(Member(identity.address, identity.role, identity.dataCentre, AddressSource.CONTACT))
        members[identity.address]?.let {
            it.failureCount = 0
            it.hasAnswered = true
            it.withdrawnDigest = withdrawnDigest
        }
    }

    /**
     * Records that the process at [address] did not answer.
     *
     * A member whose address comes only from its own calls is removed after [MAX_FAILURES] consecutive failures.
     */
    public fun recordFailure(address: String) {
        val member = members[address] ?: return
        member.failureCount++
        // The process may have restarted without its set of withdrawn keys, so the digest is unknown again.
        member.withdrawnDigest = null
        if (member.source == AddressSource.CONTACT && member.failureCount >= MAX_FAILURES) members.remove(address)
    }

    /** Clears the answers and failures of all members, so that all members are queried as after a start. */
    public fun resetContacts(): Unit = members.values.forEach {
        it.hasAnswered = false
        it.failureCount = 0
    }

    private fun addOrUpdate(member: Member) {
        val known = members.getOrPut(member.address) { member }
        known.role = member.role ?: known.role
        known.dataCentre = member.dataCentre ?: known.dataCentre
    }

    private companion object {
        const val MAX_FAILURES = 10
    }
}

/** Origin of a member's address. */
public enum class AddressSource { SETTINGS, LIST, CONFIGURATION, CONTACT }

/**
 * Another process as this process knows it.
 *
 * @property address host and port of its gRPC server.
 * @property role null if unknown.
 * @property dataCentre null if unknown.
 * @property failureCount number of exchanges without an answer since the last answer.
 * @property hasAnswered true if it has been in contact since the start of this process or the last reset.
 * @property withdrawnDigest digest of its set of withdrawn keys at the last exchange, null if unknown.
 */
public class Member(
    public val address: String,
    public var role: Role? = null,
    public var dataCentre: String? = null,
    public val source: AddressSource = AddressSource.SETTINGS,
) {
    public var failureCount: Int = 0
        internal set
    public var hasAnswered: Boolean = false
        internal set
    public var withdrawnDigest: Long? = null
        internal set
}
