package org.celerywalk.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a quarantine of sound parts because a service went down (RECOVER, LOST), and against harmful parts
 * that go unnoticed beside an outage (BUDGET), under the pattern of an application: all prompts begin with one system
 * prompt, followed by the data of one of a few applications.
 *
 * Prints a row for each load: the sound requests refused, for how long at most, and the requests with a harmful part
 * that were sent too late.
 */
class CrashEvidenceLoadTest {
    private val application = QuarantineLoad(
        instances = 5,
        endpoints = 8,
        requestsPerSecond = 40,
        deadlyShare = 0.0,
        deadlyParts = 1,
        firstParts = 1,
        canRetry = false,
        secondParts = 5,
        faults = QuarantineFaults(outages = emptyList()),
    )
    private val allAtOnce = Outage(15.seconds, share = 1.0)
    private val someAtOnce = Outage(15.seconds, share = 0.4)
    private val slowNetwork = QuarantineFaults(maxReportDelay = 3.seconds, maxNoticeDelay = 300.milliseconds)

    @Test
    fun `all endpoints crash at once`() = assertNothingRefused(faults(allAtOnce))

    @Test
    fun `some endpoints crash at once`() = assertNothingRefused(faults(someAtOnce))

    @Test
    fun `all endpoints crash at once and the reports reach peers late`() =
        assertRecovered(application.copy(faults = slowNetwork.copy(outages = listOf(allAtOnce))))

    @Test
    fun `all endpoints crash within half a second`() =
        assertRecovered(faults(allAtOnce.copy(spread = 500.milliseconds)))

    @Test
    fun `all endpoints crash again and again`() =
        assertRecovered(faults(*Array(4) { Outage(15.seconds + 3500.milliseconds * it, share = 1.0) }))

    @Test
    fun `all endpoints crash, and all instances restart`() = assertRecovered(
        application.copy(faults = slowNetwork.copy(outages = listOf(allAtOnce), restartAll = 17.seconds)),
    )

    @Test
    fun `planned stops and lost machines`() = assertNothingRefused(
        application.copy(
            faults = QuarantineFaults(
                outages = emptyList(),
                stops = List(6) { 12.seconds + 4.seconds * it },
                losses = List(6) { 14.seconds + 4.seconds * it },
            ),
        ),
    )

    @Test
    fun `one harmful part`() = assertContained(application.copy(deadlyShare = 0.06))

    @Test
    fun `two harmful parts`() = assertContained(application.copy(deadlyShare = 0.12, deadlyParts = 2))

    // Guards against a harmful part that the beginning of each answer clears (review case 8).
    @Test
    fun `one harmful part that crashes endpoints after the first event`() =
        assertContained(application.copy(deadlyShare = 0.06, crashesAfterFirstEvent = true))

    @Test
    fun `two harmful parts that crash endpoints after the first event, half of the requests`() =
        assertContained(application.copy(deadlyShare = 0.5, deadlyParts = 2, crashesAfterFirstEvent = true))

    @Test
    fun `one harmful part, and all endpoints crash at once`() =
        assertContained(faults(allAtOnce, Outage(35.seconds, share = 1.0)).copy(deadlyShare = 0.06))

    @Test
    fun `two harmful parts, outages, stops, lost machines and late reports`() = assertContained(
        application.copy(
            deadlyShare = 0.12,
            deadlyParts = 2,
            faults = slowNetwork.copy(
                outages = listOf(someAtOnce, Outage(35.seconds, share = 1.0)),
                stops = listOf(25.seconds, 40.seconds),
                losses = listOf(22.seconds, 38.seconds),
            ),
        ),
    )

    @Test
    fun `one harmful part, an outage, and all instances restart`() = assertContained(
        application.copy(
            deadlyShare = 0.06,
            faults = QuarantineFaults(outages = listOf(allAtOnce), restartAll = 18.seconds),
        ),
    )

    private fun faults(vararg outages: Outage) = application.copy(faults = QuarantineFaults(outages.toList()))

    private fun assertNothingRefused(load: QuarantineLoad) = play(load) { seed, history ->
        assertEquals(0, history.soundRefused, "seed $seed: $history")
    }

    // The load has no harmful part, so that each outage is as short as the time until its endpoints are back.
    private fun assertRecovered(load: QuarantineLoad) = play(load) { seed, history ->
        assertTrue(history.longestRefusal <= RECOVERY, "seed $seed: $history")
    }

    private fun assertContained(load: QuarantineLoad) = play(load) { seed, history ->
        assertTrue(history.sentTooLate.values.all { it <= MAX_SENT_TOO_LATE }, "seed $seed: $history")
        assertTrue(history.soundServed >= MIN_SOUND_SERVED, "seed $seed: $history")
        assertTrue(history.longestRefusal <= RECOVERY, "seed $seed: $history")
    }

    private fun play(load: QuarantineLoad, check: (Int, QuarantineHistory) -> Unit) {
        val histories = (1..SEEDS).map { QuarantineSchedule(load, it).play() }
        printRow(histories)
        histories.forEachIndexed { i, history -> check(i + 1, history) }
    }

    private fun printRow(histories: List<QuarantineHistory>) {
        val name = Thread.currentThread().stackTrace.first { ' ' in it.methodName }.methodName
        val longest = histories.maxOf { it.longestRefusal }
        val tooLate = histories.map { it.sentTooLate.values.maxOrNull() ?: 0 }
        println(
            "| $name | ${histories.sumOf { it.crashes }} | ${histories.sumOf { it.soundRefused }} | " +
                "${histories.count { it.soundRefused > 0 }} | $longest | " +
                "${tooLate.max()} | ${tooLate.count { it > MAX_SENT_TOO_LATE }} |",
        )
    }

    private companion object {
        val SEEDS: Int = Integer.getInteger("celerywalk.seeds", 20)
        const val MAX_SENT_TOO_LATE = 3
        const val MIN_SOUND_SERVED = 0.5

        // Bound of the fleet on the recovery after a disruption (RECOVER).
        val RECOVERY = 12.seconds
    }
}
