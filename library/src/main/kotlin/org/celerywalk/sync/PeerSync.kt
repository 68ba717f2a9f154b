package org.celerywalk.sync

import org.celerywalk.instance.Backoff
import org.celerywalk.instance.Member
import org.celerywalk.instance.Membership
import org.celerywalk.instance.PeerSelector
import org.celerywalk.instance.Role
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exchanges versions and withdrawn keys with other processes. All functions run on the duty's thread. */
internal class PeerSync(private val parts: SyncParts, private val adoption: Adoption) {
    private val membership = Membership(parts.identity, parts.settingsPeers)
    private val choice = PeerSelector(membership, parts.random)
    private val asked = mutableSetOf<String>()
    private val interval = Backoff(INTERVAL, INTERVAL, parts.random)
    private val startInterval = Backoff(START_INTERVAL, INTERVAL, parts.random)

    /** Addresses of the known entries; may be read on any thread. */
    @Volatile
    var entryAddresses = emptyList<String>()
        private set

    private var rounds = 0
    private var lapseCount = 0
    private var listRead = false

    init {
        adoption.listen { membership.updateFromConfiguration(it) }
    }

    /** Starts a round of exchanges and returns the time until the next one. */
    fun exchange(): Duration {
        val freshness = parts.freshness
        val peersForRound = if (freshness.started) {
            choice.peersForRound(parts.identity(), freshness.tableAnswers, parts.withdrawn.digest)
        } else {
            choice.startupPeers()
        }
        peersForRound.forEach(::ask)
        finishStart()
        return if (freshness.started) interval.nextDelay(0) else startInterval.nextDelay(rounds++)
    }

    /** Reads the instance list and returns the time until the next reading. */
    fun readInstances(): Duration {
        parts.instances.list().whenCompleteAsync({ result, _ ->
            result.onRight(membership::updateFromInstanceList)
            listRead = true
            finishStart()
        }, parts.duty)
        return Backoff(LIST_INTERVAL, LIST_INTERVAL, parts.random).nextDelay(0)
    }

    /** Sends withdrawn keys that this process has just learned to all that may not know them. */
    fun spread() {
        if (parts.identity().role == Role.ENTRY) choice.peersWithOtherDigest(parts.withdrawn.digest).forEach(::ask)
    }

    /** Tells others of a version that may be known here only: the table can fail right after the commit. */
    fun announce(): Unit = choice.peersToNotify().forEach(::ask)

    /** Learns from a question that another process asked. */
    fun questioned(question: ExchangeQuestion, withdrawnGrew: Boolean) {
        membership.recordContact(question.sender, question.withdrawnDigest)
        if (withdrawnGrew) spread()
        if (question.version > parts.state.document.version) fetch(question.sender.address) {}
    }

    private fun ask(member: Member) {
        if (!asked.add(member.address)) return
        val asOf = parts.time.markNow()
        val digest = parts.withdrawn.digest
        val ids = if (member.withdrawnDigest == digest) emptySet() else parts.withdrawn.ids
        val question = ExchangeQuestion(parts.identity(), parts.state.document.version, digest, ids)
        parts.peers.exchange(member.address, question).whenCompleteAsync({ result, _ ->
            asked -= member.address
            result.fold({ membership.recordFailure(member.address) }, { answered(member.address, it, asOf) })
            finishStart()
        }, parts.duty)
    }

    private fun answered(address: String, answer: ExchangeAnswer, asOf: ComparableTimeMark) {
        membership.recordContact(answer.receiver, answer.withdrawnDigest)
        if (parts.withdrawn.add(answer.withdrawn)) spread()
        if (answer.version > parts.state.document.version) {
            fetch(address) { confirm(answer, asOf) }
        } else {
            confirm(answer, asOf)
        }
    }

    private fun fetch(address: String, then: () -> Unit) {
        val have = parts.state.document.sections.mapValues { it.value.version }
        parts.peers.sections(address, have).whenCompleteAsync({ result, _ ->
            result.onRight { (version, sections) -> adoption.adopt(parts.state.merged(version, sections)) }
            then()
        }, parts.duty)
    }

    /** Counts an answer as a confirmation if everything that it named is in force here. */
    private fun confirm(answer: ExchangeAnswer, asOf: ComparableTimeMark) {
        if (parts.state.document.version < answer.version) return
        answer.tableAge?.let { parts.freshness.confirmedByTable(asOf - it) }
        // A peer that reaches the table confirms through the age of its knowledge only.
        if (!answer.tableAnswers) parts.freshness.confirmedByPeer(answer.receiver.instance, asOf)
    }

    private fun finishStart() {
        parts.freshness.recordOtherProcesses(membership.others.size)
        entryAddresses = membership.entries.filter { it.role == Role.ENTRY }.map { it.address }
        if (parts.freshness.lapseCount != lapseCount && parts.identity().role == Role.ENTRY) {
            lapseCount = parts.freshness.lapseCount
            rounds = 0
            membership.resetContacts()
            choice.startupPeers().forEach(::ask)
        }
        if (listRead && choice.startFinished()) parts.freshness.startFinished()
    }

    private companion object {
        // Waits are drawn from half of these to the whole.
        val INTERVAL = 1_250.milliseconds
        val START_INTERVAL = 200.milliseconds
        val LIST_INTERVAL = 10.seconds
    }
}
