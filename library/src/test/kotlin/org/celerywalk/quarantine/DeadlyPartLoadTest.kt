package org.celerywalk.quarantine

import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against a prompt part that keeps crashing endpoints (BUDGET), and against a quarantine that keeps sound
 * requests away (LOST), under the pattern of a query of death: requests with one part come at any instance, no two
 * alike, and share their other parts with sound requests.
 */
class DeadlyPartLoadTest {
    private val smallFleet = QuarantineLoad(
        instances = 5,
        endpoints = 8,
        requestsPerSecond = 23,
        deadlyShare = 0.05,
        deadlyParts = 1,
        firstParts = 4,
        canRetry = false,
    )

    @Test
    fun `few requests with a deadly part`() = assertContained(smallFleet)

    @Test
    fun `requests that are retried`() = assertContained(smallFleet.copy(canRetry = true))

    @Test
    fun `half of the requests have a deadly part`() = assertContained(smallFleet.copy(deadlyShare = 0.5))

    @Test
    fun `several deadly parts at once`() = assertContained(smallFleet.copy(deadlyParts = 3, deadlyShare = 0.15))

    // Guards against a quarantine of the part that all requests share, because of crashes with no answer in between.
    @Test
    fun `few requests, which all have one first part, and half of them a deadly one`() =
        assertContained(smallFleet.copy(requestsPerSecond = 3, firstParts = 1, deadlyShare = 0.5))

    @Test
    fun `many instances, each of which sees few of the requests`() =
        assertContained(smallFleet.copy(instances = 29, endpoints = 52, requestsPerSecond = 100))

    private fun assertContained(load: QuarantineLoad) = (1..SEEDS).forEach { seed ->
        val history = QuarantineSchedule(load, seed).play()
        assertTrue(history.sentTooLate.values.all { it <= MAX_SENT_TOO_LATE }, "seed $seed: $history")
        assertTrue(history.soundServed >= MIN_SOUND_SERVED, "seed $seed: $history")
    }

    private companion object {
        const val SEEDS = 20
        const val MAX_SENT_TOO_LATE = 3
        const val MIN_SOUND_SERVED = 0.5
    }
}
