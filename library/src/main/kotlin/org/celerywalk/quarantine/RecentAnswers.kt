package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark

/**
 * Answers that began in the last seconds, in case their endpoints crash or their parts become suspect. Bounded; not
 * thread-safe.
 */
internal class RecentAnswers {
    private class Answer(val endpointStart: String, val parts: Collection<String>, val at: ComparableTimeMark)

    private val answers = ArrayDeque<Answer>()

    fun add(endpointStart: String, parts: Collection<String>, at: ComparableTimeMark) {
        answers += Answer(endpointStart, parts, at)
        while (answers.size > MAX_ANSWERS || at - answers.first().at > PartVerdict.ANSWER_RETENTION) {
            answers.removeFirst()
        }
    }

    /** Removes the answers that [endpointStart] began shortly before it crashed at [lostAt]; returns their parts. */
    fun takeBack(endpointStart: String, lostAt: ComparableTimeMark): Set<String> {
        val (takenBack, others) =
            answers.partition { it.endpointStart == endpointStart && PartAnswers.isTakenBack(it.at, lostAt) }
        if (takenBack.isNotEmpty()) {
            answers.clear()
            answers += others
        }
        return takenBack.flatMapTo(HashSet()) { it.parts }
    }

    /** Returns the beginnings of the answers to requests with [part] by the start of their endpoint, in order. */
    fun answersTo(part: String): List<Pair<String, ComparableTimeMark>> =
        answers.filter { part in it.parts }.map { it.endpointStart to it.at }

    private companion object {
        const val MAX_ANSWERS = 2048
    }
}
