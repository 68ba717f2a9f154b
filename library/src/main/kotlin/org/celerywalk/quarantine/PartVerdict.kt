package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * What the crashes and answers of one prompt part show.
 *
 * @param answersAt beginnings of the last answers, the last one first.
 * @param crashes crashes by the start of the endpoint.
 * @param crashesWhileServing those of [crashes] after which the fleet went on to answer other parts that were lost with
 *   this one.
 */
internal class PartVerdict(
    private val answersAt: List<ComparableTimeMark>,
    crashes: Map<String, Crash>,
    private val crashesWhileServing: Set<String>,
) {
    /** Time of the last answer, or null if there was none. */
    val answeredAt: ComparableTimeMark? = answersAt.firstOrNull()

    /** Crashes since the last answer. */
    val activeCrashes: Map<String, Crash> = crashes.filterValues { answeredAt == null || it.lostAt > answeredAt }

    /** The separate ones of [activeCrashes], in order. */
    val separateCrashes: Map<String, Crash> = activeCrashes.separate()

    /** Time of the first crash since the last answer, or null if there was none. */
    val firstCrashAt: ComparableTimeMark? = activeCrashes.values.minOfOrNull { it.lostAt }

    /** Time of the last crash, or null if there was none. */
    val lastCrashAt: ComparableTimeMark? = crashes.values.maxOfOrNull { it.lostAt }

    private val crashTimes = separateCrashes.values.map { it.lostAt }

    // Index of the separate crash that was enough to blame the part, or null if none was.
    private val decisiveIndex: Int? = crashTimes.indices.drop(MIN_CRASHES - 1).firstOrNull { i ->
        !wasAnsweredBefore() || crashTimes[i] - crashTimes.first() >= MIN_TIME_AFTER_ANSWER
    }

    /** True if the part is to blame for the crashes. */
    val isToBlame: Boolean get() = decisiveIndex != null

    /** Time until a request with the part may be tried, from the last crash or trial on. */
    val backoff: Duration
        get() {
            val doublings = (trialCrashCount() * DOUBLINGS_PER_CRASH).coerceAtMost(MAX_DOUBLINGS)
            return minOf(MIN_BACKOFF * (1 shl doublings), MAX_BACKOFF)
        }

    // A single answer may have begun before the part became harmful.
    private fun wasAnsweredBefore() = firstCrashAt != null &&
        answersAt.count { firstCrashAt - it <= ANSWER_RETENTION } >= MIN_ANSWERS_BEFORE

    // Counts the crashes after the decisive one, each some time after the one before, while the fleet served requests
    // without the part. If it served none, the endpoints may have crashed for a reason of their own.
    private fun trialCrashCount(): Int {
        val starts = separateCrashes.keys.toList()
        val firstLater = decisiveIndex?.plus(1) ?: return 0
        return (firstLater until starts.size).count { i ->
            starts[i] in crashesWhileServing && crashTimes[i] - crashTimes[i - 1] >= MIN_BACKOFF / 2
        }
    }

    companion object {
        /** Time for which an answer shows that a part was not harmful before. */
        val ANSWER_RETENTION = 5.seconds

        // One crash under a request says little; the request's other parts and other requests may be to blame.
        private const val MIN_CRASHES = 2
        private const val MIN_ANSWERS_BEFORE = 2

        // Longer than an outage takes to reach all endpoints, and than reports are late.
        private val MIN_TIME_AFTER_ANSWER = 5.seconds
        private val MIN_BACKOFF = 5.seconds

        // Each crash makes the backoff four times as long.
        private const val DOUBLINGS_PER_CRASH = 2
        private const val MAX_DOUBLINGS = 8
        private val MAX_BACKOFF = 10.minutes
    }
}
