package org.celerywalk.endpoint

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/**
 * Holds what endpoints have stated about themselves in their responses: that they are leaving, or that they want no
 * requests of this instance for some time.
 *
 * A statement is valid for one start of an endpoint and does not depend on the registry, which may be unavailable or
 * behind. An endpoint that is leaving stays so until it starts again; peers report it to each other. A pause concerns
 * only the instance that the endpoint has refused, and is therefore not reported. Safe for use from several threads.
 */
public class EndpointNotices(private val timeSource: TimeSource.WithComparableMarks) {
    private class LeavingNotice(val recordedAt: ComparableTimeMark, val isOwn: Boolean)

    private val leavingNotices = LinkedHashMap<EndpointStart, LeavingNotice>()
    private val pauses = LinkedHashMap<EndpointStart, EndpointPause>()

    /** The latest starts that have told this instance that they are leaving, at most [MAX_REPORTED_STARTS]. */
    public val leavingStarts: Set<EndpointStart>
        @Synchronized get() =
            leavingNotices.filterValues { it.isOwn }.keys.toList().takeLast(MAX_REPORTED_STARTS).toSet()

    /** Records that [start] has stated that it is leaving; returns true if this was not known. */
    @Synchronized
    public fun recordLeaving(start: EndpointStart): Boolean = addLeaving(start, isOwn = true)

    /** Records that [starts] have told a peer that they are leaving, and returns those that were not known. */
    @Synchronized
    public fun mergeLeaving(starts: Set<EndpointStart>): List<EndpointStart> =
        starts.filter { addLeaving(it, isOwn = false) }

    /** Returns true if [start] has stated that it is leaving. */
    @Synchronized
    public fun isLeaving(start: EndpointStart): Boolean = start in leavingNotices

    /** Records that [start] wants no requests for [duration], of which at most [MAX_PAUSE] counts. */
    @Synchronized
    public fun recordPause(start: EndpointStart, duration: Duration) {
        if (duration <= Duration.ZERO) return
        val end = timeSource.markNow() + duration.coerceAtMost(MAX_PAUSE)
        val previousEnd = pauses.remove(start)?.end
        pauses[start] = EndpointPause(if (previousEnd == null) end else maxOf(previousEnd, end))
        pauses.removeOldest()
    }

    /** Records that [start] has answered a request, after which it may get more at once. */
    @Synchronized
    public fun recordAnswer(start: EndpointStart) {
        val pause = pauses[start] ?: return
        if (pause.recordAnswer()) pauses.remove(start)
    }

    /** Returns true if [start] may get another request beside the [openCalls] requests of this instance. */
    @Synchronized
    public fun accepts(start: EndpointStart, openCalls: Int): Boolean = pauses[start]?.accepts(openCalls) ?: true

    /** Returns the time until the first of [starts] ends its pause, or zero if one of them does not pause. */
    @Synchronized
    public fun timeUntilAccepted(starts: List<EndpointStart>): Duration =
        starts.minOfOrNull { pauses[it]?.timeLeft() ?: Duration.ZERO } ?: Duration.ZERO

    /** Forgets the statements of starts that are not [registered], once they can hardly be registered again. */
    @Synchronized
    public fun retain(registered: Set<EndpointStart>) {
        leavingNotices.entries.removeIf { (start, notice) ->
            start !in registered && notice.recordedAt.elapsedNow() > RETENTION
        }
        pauses.entries.removeIf { (start, pause) -> start !in registered && pause.timeLeft() == Duration.ZERO }
    }

    private fun addLeaving(start: EndpointStart, isOwn: Boolean): Boolean {
        val previous = leavingNotices[start]
        if (previous == null || isOwn && !previous.isOwn) {
            leavingNotices[start] = LeavingNotice(timeSource.markNow(), isOwn)
            leavingNotices.removeOldest()
        }
        return previous == null
    }

    private fun LinkedHashMap<EndpointStart, *>.removeOldest() {
        if (size > MAX_STARTS) remove(keys.first())
    }

    public companion object {
        /** Longest pause that a response can ask for, so that one wrong value does not exclude an endpoint for good. */
        public val MAX_PAUSE: Duration = 5.minutes

        /** Number of leaving endpoints in a report to peers; a message has a limited size. */
        public const val MAX_REPORTED_STARTS: Int = 64

        // Several times the number of endpoints of a large fleet.
        private const val MAX_STARTS = 8192

        // An endpoint that leaves exits within seconds; a registry that is behind may list it for somewhat longer.
        private val RETENTION = 10.minutes
    }
}

/**
 * Pause of one endpoint until [end], and the slow start after it: one request at first, twice as many after each round
 * of answers.
 */
internal class EndpointPause(val end: ComparableTimeMark) {
    private var maxOpenCalls = 1

    fun timeLeft(): Duration = (-end.elapsedNow()).coerceAtLeast(Duration.ZERO)

    fun accepts(openCalls: Int): Boolean = end.hasPassedNow() && openCalls < maxOpenCalls

    /** Returns true if the slow start has ended. Answers to requests from before the end of the pause don't count. */
    fun recordAnswer(): Boolean {
        if (end.hasPassedNow()) maxOpenCalls++
        return maxOpenCalls > SLOW_START_CALLS
    }

    private companion object {
        // Usual number of requests that one instance has open at an endpoint.
        const val SLOW_START_CALLS = 16
    }
}
