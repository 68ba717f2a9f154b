package org.celerywalk.booking

import org.celerywalk.error.Execution
import java.util.PriorityQueue

/**
 * Remembers the attempts that reached this agent, so that no attempt starts twice or after it was refused.
 *
 * The ledger is bounded: when it is full, the attempts that expire first are evicted, and every attempt that expires no
 * later than an evicted one is refused as expired. Safe for use from several threads.
 *
 * @param wallClock returns milliseconds since the epoch.
 * @param capacity number of attempts to remember.
 */
internal class AttemptLedger(private val wallClock: () -> Long, private val capacity: Int) {
    private class Entry(val attemptId: String, val keptUntilMillis: Long, var state: State)

    enum class Admission { ADMITTED, REFUSED_BEFORE, SEEN, EXPIRED }

    private enum class State { ADMITTED, REFUSED, CALLING, RAN, LOST }

    private val entries = HashMap<String, Entry>()
    private val byExpiry = PriorityQueue<Entry>(compareBy { it.keptUntilMillis })

    // Attempts that expire at or before this time are refused. The value never decreases, even if the wall clock does.
    private var expiryFloorMillis = Long.MIN_VALUE

    /** Admits an attempt that was not seen before and has not expired. */
    @Synchronized
    fun admit(attempt: BookingAttempt): Admission {
        val now = evictExpired()
        val known = entries[attempt.attemptId]
        return when {
            known?.state == State.REFUSED -> Admission.REFUSED_BEFORE
            known != null -> Admission.SEEN
            attempt.expiresAtMillis <= expiryFloorMillis -> Admission.EXPIRED
            // An attempt with a far expiry would stay in the ledger for long and evict other attempts.
            attempt.expiresAtMillis > now + MAX_LIFETIME_MILLIS -> Admission.EXPIRED
            else -> {
                addEntry(Entry(attempt.attemptId, attempt.expiresAtMillis, State.ADMITTED))
                Admission.ADMITTED
            }
        }
    }

    /**
     * Bars an attempt that has not started, so that it never runs, and returns whether it has run.
     *
     * The attempt may still arrive later, or be waiting for the table. The result is `UNKNOWN` for an expired attempt
     * that is not in the ledger, because it may have run and been evicted.
     */
    @Synchronized
    fun barAttempt(attemptId: String, expiresAtMillis: Long): Execution {
        evictExpired()
        if (attemptId !in entries && expiresAtMillis > expiryFloorMillis) {
            addEntry(Entry(attemptId, expiresAtMillis, State.REFUSED))
        }
        val entry = entries[attemptId]
        if (entry?.state == State.ADMITTED) entry.state = State.REFUSED
        return when (entry?.state) {
            State.REFUSED -> Execution.NOT_RUN
            State.RAN -> Execution.RAN
            else -> Execution.UNKNOWN
        }
    }

    /** Returns true if the call may start now, and then marks the attempt as started. */
    @Synchronized
    fun start(attempt: BookingAttempt): Boolean {
        // The attempt may have expired while the table was slow or the process was paused.
        evictExpired()
        val entry = entries[attempt.attemptId]
        val canStart = entry?.state == State.ADMITTED
        if (canStart) entry?.state = State.CALLING
        return canStart
    }

    /** Refuses an admitted attempt permanently. */
    @Synchronized
    fun refuseAttempt(attemptId: String) {
        entries[attemptId]?.state = State.REFUSED
    }

    /** Records how a call ended. */
    @Synchronized
    fun recordResult(attemptId: String, result: CallResult) {
        entries[attemptId]?.state = when (result) {
            is CallResult.Answered -> State.RAN
            is CallResult.NotSent -> State.REFUSED
            is CallResult.Lost -> State.LOST
        }
    }

    private fun addEntry(entry: Entry) {
        entries[entry.attemptId] = entry
        byExpiry.add(entry)
        while (byExpiry.size > capacity) evictEarliest()
    }

    // Returns the wall-clock time, so that callers compare with the same reading.
    private fun evictExpired(): Long {
        val now = wallClock()
        expiryFloorMillis = maxOf(expiryFloorMillis, now)
        while (byExpiry.isNotEmpty() && byExpiry.peek().keptUntilMillis <= expiryFloorMillis) evictEarliest()
        return now
    }

    private fun evictEarliest() {
        val first = byExpiry.poll()
        entries.remove(first.attemptId)
        expiryFloorMillis = maxOf(expiryFloorMillis, first.keptUntilMillis)
    }

    companion object {
        /** Longest time until an attempt's expiry: 30 s, and 5 s for the clock skew between instances. */
        const val MAX_LIFETIME_MILLIS = 35_000L
    }
}
