package org.celerywalk.key

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this process may serve requests with keys: only while its set of withdrawn keys is confirmed to be
 * recent.
 *
 * Time marks are taken before a query is sent, because a late answer shows the state at that time only. A confirmation
 * is reported after all changes in the answer have been applied. Thread-safe.
 *
 * @param keyMaxAge maximum age of the latest applied state of the table up to which peers can confirm in its place.
 */
public class WithdrawnKeysFreshness(private val keyMaxAge: Duration) {
    private data class State(
        val tableStateAt: ComparableTimeMark? = null,
        val isTableReachable: Boolean = false,
        val peers: Map<String, ComparableTimeMark> = emptyMap(),
        val isStartupComplete: Boolean = false,
        val otherProcesses: Int = 0,
        val lapseCount: Int = 0,
    )

    @Volatile
    private var state = State()

    /** Age of the latest state of the table that this process has applied, or null if it has applied none. */
    public val tableAge: Duration? get() = state.tableStateAt?.elapsedNow()

    /** True if the table answered the last call. */
    public val isTableReachable: Boolean get() = state.isTableReachable

    /** True once all known entry processes were queried for withdrawn keys after the start or the last lapse. */
    public val isStartupComplete: Boolean get() = state.isStartupComplete

    /**
     * Number of times that the confirmation has lapsed. After each lapse all entry processes must be queried as after a
     * start, because keys may have been withdrawn outside the configuration in the meantime.
     */
    public val lapseCount: Int get() = state.lapseCount

    /** Reports that this process has applied the table's state as of [asOf], read by itself or by a peer. */
    public fun recordTableConfirmation(asOf: ComparableTimeMark): Unit = update { previous ->
        val current = withLapse(previous)
        current.copy(tableStateAt = listOfNotNull(current.tableStateAt, asOf).max())
    }

    /** Reports whether the table answered the last call. */
    public fun recordTableCall(answered: Boolean): Unit = update { it.copy(isTableReachable = answered) }

    /** Reports that this process has applied what [peer], which cannot reach the table either, knew at [asOf]. */
    public fun recordPeerConfirmation(peer: String, asOf: ComparableTimeMark): Unit = update { previous ->
        val current = withLapse(previous)
        current.copy(peers = current.peers.filterValues { it.elapsedNow() < MAX_CONFIRMATION_AGE } + (peer to asOf))
    }

    /** Reports the number of other known processes. */
    public fun recordOtherProcesses(count: Int): Unit = update { it.copy(otherProcesses = count) }

    /** Reports that every known entry process has answered a query for its withdrawn keys or appears to be down. */
    public fun recordStartupComplete(): Unit = update { it.copy(isStartupComplete = true) }

    /** Whether requests with keys may be served now. */
    public fun isConfirmed(): Boolean = isConfirmed(state)

    private fun isConfirmed(current: State): Boolean {
        val age = current.tableStateAt?.elapsedNow()
        return current.isStartupComplete && age != null &&
            (age < MAX_CONFIRMATION_AGE || age < keyMaxAge && peersConfirm(current))
    }

    private fun withLapse(current: State): State {
        val hasLapsed = current.isStartupComplete && current.tableStateAt != null && !isConfirmed(current)
        return if (hasLapsed) current.copy(isStartupComplete = false, lapseCount = current.lapseCount + 1) else current
    }

    private fun peersConfirm(current: State): Boolean {
        val recentCount = current.peers.values.count { it.elapsedNow() < MAX_CONFIRMATION_AGE }
        return !current.isTableReachable && recentCount >= current.otherProcesses.coerceIn(1, REQUIRED_PEERS)
    }

    @Synchronized
    private fun update(change: (State) -> State) {
        state = change(state)
    }

    public companion object {
        /** Age up to which a confirmation counts; bounds the time for which a withdrawn key can still be used. */
        public val MAX_CONFIRMATION_AGE: Duration = 5.seconds

        /** Number of peers that must confirm in place of the table; if fewer are known, all of them and at least 1. */
        public const val REQUIRED_PEERS: Int = 2
    }
}
