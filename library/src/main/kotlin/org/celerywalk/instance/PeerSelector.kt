package org.celerywalk.instance

import kotlin.random.Random

/** Chooses the peers of each gossip round. */
public class PeerSelector(private val membership: Membership, private val random: Random) {
    /**
     * Returns the members to ask after the start: some agents, and all entries that have neither answered nor failed
     * [MAX_START_ATTEMPTS] times, because any single entry may be the only one that holds a withdrawn key.
     */
    public fun startupPeers(): List<Member> {
        val entries = membership.entries.filter { !it.hasAnswered && it.failureCount < MAX_START_ATTEMPTS }
        val agents = membership.others.filter { it.role == Role.AGENT }
        return (entries.shuffled(random) + agents.shuffled(random).take(START_AGENTS)).distinct()
    }

    /** Returns true when every entry has answered or failed [MAX_START_ATTEMPTS] times since the start. */
    public fun isStartupComplete(): Boolean =
        membership.entries.all { it.hasAnswered || it.failureCount >= MAX_START_ATTEMPTS }

    /**
     * Returns the members for a regular round of the process [own].
     *
     * While the table does not answer, two entries are asked for confirmation too, because withdrawn keys reach entries
     * first.
     *
     * @param withdrawnDigest digest of this process's set of withdrawn keys, 0 if the set is empty.
     */
    public fun peersForRound(own: ProcessIdentity, isTableReachable: Boolean, withdrawnDigest: Long): Set<Member> {
        val chosen = if (isTableReachable) {
            randomMembers(own.dataCentre, 1)
        } else {
            randomMembers(own.dataCentre, CONFIRMATION_PEERS, membership.entries) +
                randomMembers(own.dataCentre, CONFIRMATION_PEERS)
        }
        val peersWithOtherDigest = if (own.role == Role.ENTRY) peersWithOtherDigest(withdrawnDigest) else emptyList()
        return (chosen + peersWithOtherDigest).toSet()
    }

    /** Returns [count] random members of [candidates], three out of four from [dataCentre] if it has enough. */
    public fun randomMembers(
        dataCentre: String,
        count: Int,
        candidates: Collection<Member> = membership.others,
    ): List<Member> {
        val (local, remote) = candidates.shuffled(random).partition { it.dataCentre == dataCentre }
        val remaining = listOf(local.toMutableList(), remote.toMutableList())
        return List(minOf(count, candidates.size)) {
            val preferred = if (random.nextDouble() < REMOTE_PROBABILITY) remaining[1] else remaining[0]
            preferred.ifEmpty { remaining.first { it.isNotEmpty() } }.removeAt(0)
        }
    }

    /**
     * Returns members whose set of withdrawn keys is not known to have [digest], entries first.
     *
     * Entries come first, because they serve requests with keys. The list is empty for digest 0 (no withdrawn keys).
     */
    public fun peersWithOtherDigest(digest: Long): List<Member> {
        if (digest == 0L) return emptyList()
        return peersToNotify(membership.others.filter { it.withdrawnDigest != digest })
    }

    /** Returns the members of [candidates] to notify at once: entries first, and some agents that gossip further. */
    public fun peersToNotify(candidates: Collection<Member> = membership.others): List<Member> {
        val (agents, entries) = candidates.shuffled(random).partition { it.role == Role.AGENT }
        return entries.take(MAX_NOTIFIED_ENTRIES) + agents.take(MAX_NOTIFIED_AGENTS)
    }

    public companion object {
        /** Failed exchanges after the start from which on the start no longer waits for an entry. */
        public const val MAX_START_ATTEMPTS: Int = 3

        private const val CONFIRMATION_PEERS = 2
        private const val START_AGENTS = 3
        private const val REMOTE_PROBABILITY = 0.25

        // The two limits together bound a round to 80 exchanges of about 200 bytes each.
        private const val MAX_NOTIFIED_ENTRIES = 64
        private const val MAX_NOTIFIED_AGENTS = 16
    }
}
