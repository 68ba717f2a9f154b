package org.celerywalk.gateway.forwarding

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limit on the silence of an endpoint.
 *
 * @property time time without an event after which the response counts as stalled.
 * @property tryTakeRetry takes a retry from the retry budget if another endpoint could send the response, or the rest
 *   of it, now; returns false if not, or if the budget is spent.
 */
internal class StallLimit(val time: Duration, val tryTakeRetry: () -> Boolean)

/**
 * Cancels the call of [claim] once its response is stalled and can go on elsewhere, or never if [limit] is null.
 *
 * A silent endpoint may be sound, so the response is left to it as long as no other endpoint can send it.
 *
 * @param timeSinceEvent returns the time since the last event, or since the send if there was none.
 */
internal class StallDeadline(
    private val timers: ScheduledExecutorService,
    private val claim: SendClaim,
    private val limit: StallLimit?,
    private val timeSinceEvent: () -> Duration,
) : AutoCloseable {
    @Volatile
    private var timer: ScheduledFuture<*>? = null

    @Volatile
    private var isClosed = false

    init {
        limit?.let { checkAfter(it.time, it) }
    }

    override fun close() {
        isClosed = true
        timer?.cancel(false)
    }

    private fun checkAfter(delay: Duration, limit: StallLimit) {
        timer = timers.schedule({ check(limit) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun check(limit: StallLimit) {
        val timeLeft = limit.time - timeSinceEvent()
        when {
            isClosed -> Unit
            timeLeft > Duration.ZERO -> checkAfter(timeLeft, limit)
            !tryCancel(limit) -> checkAfter(RECHECK_INTERVAL, limit)
        }
    }

    private fun tryCancel(limit: StallLimit): Boolean =
        claim.tryCancel(AttemptOutcome.Stalled("no event for ${limit.time}")) {
            !isClosed && timeSinceEvent() >= limit.time && limit.tryTakeRetry()
        }

    private companion object {
        val RECHECK_INTERVAL = 200.milliseconds
    }
}
