package org.celerywalk.gateway.forwarding

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.gateway.callers.CancelReason
import org.celerywalk.limit.EndpointCapacity
import org.celerywalk.routing.EndpointLoad
import org.celerywalk.routing.EndpointWork
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Place of one call at [endpoint]: counts in its load until it is released. Used by one thread.
 *
 * @param capacity measured capacity of the endpoint, or null if its calls are not limited.
 * @param onReleased called once the place is free.
 */
internal class CallPass(
    val endpoint: RegisteredEndpoint,
    private val load: EndpointLoad,
    private val capacity: EndpointCapacity?,
    timeSource: TimeSource.WithComparableMarks,
    private val onReleased: () -> Unit,
) : AutoCloseable {
    private val startedAt = timeSource.markNow()
    private val inFlight: Int
    private var answerTime: Duration? = null
    private var isReleased = false

    init {
        load.add(SINGLE_CALL)
        inFlight = load.work().calls
    }

    /** Records that the endpoint has sent its complete answer, which its caller may take long to read. */
    fun recordAnswerRead() {
        answerTime = startedAt.elapsedNow()
        release()
    }

    /** Records the outcome of the send as a measurement of the endpoint's capacity. */
    fun recordOutcome(outcome: AttemptOutcome, cancelReason: CancelReason?) {
        val duration = answerTime ?: startedAt.elapsedNow()
        when {
            capacity == null -> Unit
            outcome is AttemptOutcome.Completed -> capacity.recordAnswer(duration, inFlight)
            outcome is AttemptOutcome.NotExecuted && outcome.reason in FULL_REASONS ->
                capacity.recordRejection(inFlight)
            outcome is AttemptOutcome.Stalled || cancelReason == CancelReason.TIME_IS_UP ->
                capacity.recordUnanswered(duration)
        }
    }

    override fun close() = release()

    private fun release() {
        if (isReleased) return
        isReleased = true
        load.remove(SINGLE_CALL)
        onReleased()
    }

    private companion object {
        val SINGLE_CALL = EndpointWork(calls = 1)
        val FULL_REASONS = setOf("status_503", "status_429")
    }
}
