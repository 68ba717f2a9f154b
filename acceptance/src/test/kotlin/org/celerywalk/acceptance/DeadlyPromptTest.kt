package org.celerywalk.acceptance

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a prompt that crashes one engine after the other. */
class DeadlyPromptTest {
    private val fleet = Fleet(endpoints = 3).start()

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `a prompt under which two engines crashed before the first token is not sent to a third one`() {
        fleet.engines.forEach { it.settings = it.settings.copy(prefillMicros = SLOW_PREFILL_MICROS) }
        val stream = fleet.caller().stream("Two buckets of peonies. ".repeat(PROMPT_REPEATS), 2)
        repeat(2) { crashCount ->
            waitUntil("an engine computes the prompt") { fleet.engines.any { it.counts.running > 0 } }
            fleet.engines.first { it.counts.running > 0 }.crash()
            waitUntil("the engine has cut the stream") { fleet.engines.sumOf { it.counts.cut } == crashCount + 1 }
        }
        val lastData = stream.awaitEnd()
        assertTrue("prompt_part_quarantined" in lastData, "last data: $lastData")
        assertEquals(2, fleet.engines.sumOf { engine -> engine.requests().count { it.path.endsWith("/v1/generate") } })
    }

    private companion object {
        const val PROMPT_REPEATS = 40

        // About 2 s for the prompt, in which the test crashes its engine.
        const val SLOW_PREFILL_MICROS = 10_000.0
    }
}
