package org.celerywalk.gateway.forwarding

import okhttp3.Call
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Decides between relaying the response of [call] and cancelling the call, so that nothing is relayed between the check
 * whether the call may be cancelled and its cancellation. Thread-safe.
 */
internal class SendClaim(private val call: Call) {
    private val lock = ReentrantLock()
    private var cancelled: AttemptOutcome? = null

    /** Runs [relay] unless the call was cancelled; returns false if it was. Waits for a check that is in progress. */
    fun tryRelay(relay: () -> Unit): Boolean = lock.withLock {
        val isAllowed = cancelled == null
        if (isAllowed) relay()
        isAllowed
    }

    /**
     * Cancels the call with [outcome] if [isAllowed] returns true, and returns true if it did.
     *
     * Does nothing while the response is being relayed, since a relay may wait for a slow caller.
     */
    fun tryCancel(outcome: AttemptOutcome, isAllowed: () -> Boolean): Boolean {
        if (!lock.tryLock()) return false
        return try {
            val isCancelled = cancelled == null && isAllowed()
            if (isCancelled) {
                cancelled = outcome
                call.cancel()
            }
            isCancelled
        } finally {
            lock.unlock()
        }
    }

    /**
     * Returns the [outcome] of the call, or that of its cancellation if it was cancelled.
     *
     * The cancellation may come as a refusal or a response has arrived, which then counts.
     */
    fun explain(outcome: AttemptOutcome): AttemptOutcome =
        if (outcome is AttemptOutcome.ResponseLost) lock.withLock { cancelled } ?: outcome else outcome
}
