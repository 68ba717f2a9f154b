package org.celerywalk.booking

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against bookings that run twice and against false `not_run` replies, with generated fault schedules.
 *
 * Both come from retries, delayed or duplicated messages, replaced agents, clock skew and table outages.
 */
class BookingsTest {
    @Test
    fun `a booking runs at most once`() = onSchedules { schedule ->
        val repeatedBookings = schedule.executedAttempts.groupBy { it.booking }.filterValues { it.size > 1 }
        assertEquals(emptyMap(), repeatedBookings, "bookings that were executed more than once")
    }

    @Test
    fun `an attempt with a not_run reply is never executed`() = onSchedules { schedule ->
        assertEquals(emptySet(), schedule.executedAttempts.toSet() intersect schedule.notRunAttempts)
    }

    @Test
    fun `an expired attempt is never started`() = onSchedules { schedule ->
        assertEquals(emptyList(), schedule.startedAfterExpiry)
    }

    @Test
    fun `a retry gets only the answer to an equal request`() = onSchedules { schedule ->
        schedule.answeredAttempts.forEach { (attempt, answer) -> assertEquals(attempt.digest, answer) }
    }

    @Test
    fun `abandoned claims are barred when the table answers again`() = onSchedules { schedule ->
        assertEquals(emptyList(), schedule.abandonedClaims)
    }

    @Test
    fun `the schedules reach every outcome`() {
        var executedCount = 0
        var notRunCount = 0
        var answerCount = 0
        var replayCount = 0
        onSchedules { schedule ->
            executedCount += schedule.executedAttempts.size
            notRunCount += schedule.notRunAttempts.size
            answerCount += schedule.answeredAttempts.size
            replayCount += schedule.answeredAttempts.count { it.first !in schedule.executedAttempts }
        }
        val outcomes = listOf(executedCount, notRunCount, answerCount, replayCount)
        assertTrue(outcomes.all { it > SCHEDULE_COUNT }, "executed, not_run, answers, replays: $outcomes")
    }

    private fun onSchedules(check: (BookingSchedule) -> Unit) {
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULE_COUNT), Arb.long()) { seed ->
                check(BookingSchedule(seed).apply { run() })
            }
        }
    }

    private companion object {
        const val SEED = 9_010L
        const val SCHEDULE_COUNT = 2_000
    }
}
