package org.celerywalk.limit

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Reason why a call is not admitted to an endpoint. */
public enum class CallRefusal(public val code: String) {
    /** The calls ahead of it take longer than it may wait. */
    TOO_LATE("queue_late"),

    /** The queue is full of calls that go first. */
    FULL("queue_full"),

    /** A call that goes first took its place in the queue. */
    DISPLACED("queue_displaced"),

    /** It has waited as long as it may. */
    WAIT_OVER("queue_timeout"),
}

/** Decision about one call. */
public sealed interface CallDecision {
    /** The call has its place at an endpoint. */
    public data object Admitted : CallDecision

    /** The call waits; its decision follows. */
    public data object Waiting : CallDecision

    /** The call is not sent; its caller may return after [retryAfter]. */
    public data class Refused(val reason: CallRefusal, val retryAfter: Duration) : CallDecision
}

/**
 * Admits the calls of one service to its endpoints, in the order of a [CallQueue] if there is no room. Thread-safe.
 *
 * @param tryStart takes a place at an endpoint for a call; returns false if none of its endpoints has room.
 * @param onDecision is told the decision about a call that has waited.
 */
public class CallAdmission<T>(
    private val timeSource: TimeSource.WithComparableMarks,
    random: Random,
    private val tryStart: (T) -> Boolean,
    private val onDecision: (T, CallDecision) -> Unit,
) {
    private val queue = CallQueue<T>(timeSource)
    private val returns = ReturnSpread(timeSource, random)
    private var lastInterval = Duration.ZERO

    /** Number of calls that wait. */
    public val waitingCalls: Int
        @Synchronized get() = queue.size

    /**
     * Admits [call], lets it wait or refuses it.
     *
     * @param releaseInterval returns the expected time between two calls of this process that end. Called only if there
     *   is no room.
     */
    @Synchronized
    public fun offer(call: QueuedCall<T>, releaseInterval: () -> Duration): CallDecision {
        // Calls that wait go first; some of them may not be able to use the room that there is.
        if (queue.size > 0) decideWaiting()
        if (queue.size == 0 && tryStart(call.content)) return CallDecision.Admitted
        return enqueue(call, releaseInterval)
    }

    private fun enqueue(call: QueuedCall<T>, releaseInterval: () -> Duration): CallDecision {
        lastInterval = releaseInterval()
        val timeLeft = call.latestStart - timeSource.markNow()
        val expectedWait = lastInterval * (queue.countAhead(call.rank, call.latestStart) + 1)
        val maxSize = (timeLeft / lastInterval).toInt().coerceIn(1, MAX_WAITING_CALLS)
        val isLate = expectedWait > timeLeft
        val displaced = if (isLate) null else queue.offer(call, maxSize)
        return when {
            isLate -> refuse(CallRefusal.TOO_LATE)
            displaced === call -> refuse(CallRefusal.FULL)
            else -> {
                displaced?.let { onDecision(it.content, refuse(CallRefusal.DISPLACED)) }
                decideWaiting()
                CallDecision.Waiting
            }
        }
    }

    /** Starts and refuses waiting calls. To be called when a call has ended, and from time to time while calls wait. */
    @Synchronized
    public fun decideWaiting() {
        queue.expire().forEach { onDecision(it.content, refuse(CallRefusal.WAIT_OVER)) }
        while (queue.size > 0) {
            val started = queue.poll(tryStart) ?: break
            onDecision(started.content, CallDecision.Admitted)
        }
    }

    /** Removes [call] from the queue, for example when its caller has left. */
    @Synchronized
    public fun withdraw(call: QueuedCall<T>): Unit = queue.remove(call)

    private fun refuse(reason: CallRefusal) = CallDecision.Refused(reason, returns.next(lastInterval))

    private companion object {
        // Each waiting call holds a server thread, of which a gateway has 240.
        const val MAX_WAITING_CALLS = 32
    }
}
