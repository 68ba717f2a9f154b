package org.celerywalk.gateway.forwarding

import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Cancels the call of [claim] if its endpoint has not started to answer within [limit], or never if that is null.
 *
 * A request may wait in a replica's queue until after the time from which on none may start on superseded weights.
 */
internal class StartDeadline(
    timers: ScheduledExecutorService,
    private val claim: SendClaim,
    limit: Duration?,
) : AutoCloseable {
    private val timer = limit?.let { timers.schedule(::expire, it.inWholeMilliseconds, TimeUnit.MILLISECONDS) }

    @Volatile
    private var isClosed = false

    /** Ends the limit, since the endpoint has started to answer or the call has ended. */
    override fun close() {
        isClosed = true
        timer?.cancel(false)
    }

    private fun expire() {
        claim.tryCancel(AttemptOutcome.NotStarted("not started while its weights were allowed")) { !isClosed }
    }
}
