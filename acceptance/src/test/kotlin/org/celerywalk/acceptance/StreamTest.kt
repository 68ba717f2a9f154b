package org.celerywalk.acceptance

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class StreamTest {
    private val fleet = Fleet(endpoints = 2).start()

    @AfterTest
    fun stop() = fleet.close()

    private fun busyEngineIndex() = fleet.engines.indexOfFirst { it.counts.running > 0 }

    @Test
    fun `an engine crash during a stream neither loses, repeats nor reorders tokens`() {
        val stream = fleet.caller().stream(MESSAGE, COMPLETION_TOKENS).awaitFirstToken()
        fleet.engines[busyEngineIndex()].crash()
        assertEquals("[DONE]", stream.awaitEnd())
        assertEquals(expectedCompletion(MESSAGE, COMPLETION_TOKENS), stream.text)
        assertEquals(1, fleet.engines.sumOf { it.counts.cut })
    }

    @Test
    fun `a stream continues at another endpoint when its agent is killed`() {
        val stream = fleet.caller().stream(MESSAGE, COMPLETION_TOKENS).awaitFirstToken()
        val killedIndex = busyEngineIndex()
        fleet.agents[killedIndex].kill()
        assertEquals("[DONE]", stream.awaitEnd())
        assertEquals(expectedCompletion(MESSAGE, COMPLETION_TOKENS), stream.text)
        waitUntil("the killed agent's engine drops its sequence") { fleet.engines[killedIndex].counts.running == 0 }
    }

    @Test
    fun `a disconnect of the caller cancels its sequence in the engine`() {
        val stream = fleet.caller().stream(MESSAGE, LONG_COMPLETION_TOKENS).awaitFirstToken()
        stream.disconnect()
        waitUntil("the engine cancels the sequence") { fleet.engines.sumOf { it.counts.cancelled } == 1 }
        assertEquals(0, fleet.engines.sumOf { it.counts.running })
    }

    @Test
    fun `a graceful stop of an entry completes the open stream and refuses new requests`() {
        val stream = fleet.caller().stream(MESSAGE, COMPLETION_TOKENS).awaitFirstToken()
        fleet.entries[0].terminate()
        waitUntil("the entry is not ready") { fleet.caller().status("/health/ready") != OK }
        assertEquals("[DONE]", stream.awaitEnd())
        assertEquals(expectedCompletion(MESSAGE, COMPLETION_TOKENS), stream.text)
        waitUntil("the entry exits") { !fleet.entries[0].isAlive }
    }

    @Test
    fun `withdrawing a key ends its open stream with an error instead of a normal end`() {
        val stream = fleet.caller().stream(MESSAGE, LONG_COMPLETION_TOKENS).awaitFirstToken()
        fleet.withdrawKey()
        assertTrue("error" in stream.awaitEnd(), "last data: ${stream.lastData}")
        assertEquals(UNAUTHORIZED, fleet.caller().status("/v1/models"))
        waitUntil("the engine cancels the sequence") { fleet.engines.sumOf { it.counts.running } == 0 }
    }

    @Test
    fun `a repeated prompt is served from the prefix cache, and no engine receives the API key`() {
        val longPrompt = MESSAGE.repeat(PROMPT_REPEATS)
        assertEquals("[DONE]", fleet.caller().stream(longPrompt, 2).awaitEnd())
        val second = fleet.caller().stream(longPrompt, 2)
        assertEquals("[DONE]", second.awaitEnd())
        assertTrue(second.cachedTokens >= PIECE_TOKENS, "cached tokens: ${second.cachedTokens}")
        val engineRequests = fleet.engines.flatMap { it.requests() }
        assertNotEquals(emptyList(), engineRequests.filter { "peonies" in it.body })
        assertFalse(engineRequests.any { API_KEY in "$it" || API_KEY.substringAfterLast('_') in "$it" })
    }

    private companion object {
        const val MESSAGE = "Two buckets of peonies, one of dahlias. "
        const val PROMPT_REPEATS = 40
        const val COMPLETION_TOKENS = 150
        const val LONG_COMPLETION_TOKENS = 3000
        const val OK = 200
        const val UNAUTHORIZED = 401
    }
}
