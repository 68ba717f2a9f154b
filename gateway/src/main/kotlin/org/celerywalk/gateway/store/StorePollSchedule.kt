package org.celerywalk.gateway.store

import org.celerywalk.gateway.FleetState
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a gateway polls the feed of the operators' table.
 *
 * The gateways that watch the store poll it all the time. The others poll it if a peer has read something newer, or if
 * the confirmation of the configuration, which they also get from peers, becomes old.
 */
internal class StorePollSchedule(private val state: FleetState, private val events: StoreEvents) {
    private val isPollRequested = AtomicBoolean()
    private val keyWithdrawal = state.settings.bounds.keyWithdrawal

    /** Longest wait of a poll for a change. */
    val feedWait: Duration
        get() = when {
            !events.isWatcher() -> Duration.ZERO
            events.hasFollowers() -> MAX_SHARED_FEED_WAIT
            else -> minOf(MAX_FEED_WAIT, keyWithdrawal / POLLS_PER_KEY_WITHDRAWAL)
        }

    /** True if this gateway should poll now. */
    val isPollDue: Boolean
        get() = events.isWatcher() || isPollRequested.get() ||
            !state.confirmation.isWithin(keyWithdrawal * MAX_CONFIRMATION_AGE_SHARE)

    /** Requests a poll, and returns true if none was requested since the last one. */
    fun requestPoll(): Boolean = !isPollRequested.getAndSet(true)

    /** Records a poll. Peers request another one if it has not shown what they have read. */
    fun recordPoll() = isPollRequested.set(false)

    private companion object {
        // Polls of the feed within the time for which API keys are accepted after a confirmation: each poll confirms
        // the configuration and costs a call to the store.
        const val POLLS_PER_KEY_WITHDRAWAL = 5
        val MAX_FEED_WAIT = 1.seconds

        // A confirmation counts from before the poll that brought it, and reaches the followers some time later.
        val MAX_SHARED_FEED_WAIT = 500.milliseconds

        // Leaves time for own polls before API keys are refused.
        const val MAX_CONFIRMATION_AGE_SHARE = 0.7
    }
}
