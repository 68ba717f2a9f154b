package org.celerywalk.stream

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Answers a drain that is held up by long streams. */
class RelocatableStreamsTest {
    private val streams = RelocatableStreams()
    private var cancelled = 0

    @Test
    fun `long streams of a draining endpoint end there, those of others go on`() {
        val draining = List(3) { stream().also { streams.add("a", it) } }
        val other = stream().also { streams.add("b", it) }
        assertEquals(3, streams.relocateFrom("a"))
        assertEquals(3, cancelled)
        assertTrue(draining.all { it.relocated })
        assertFalse(other.relocated)
    }

    @Test
    fun `a stream is cancelled once, however often its endpoint is reported as draining`() {
        streams.add("a", stream())
        assertEquals(listOf(1, 0, 0), List(3) { streams.relocateFrom("a") })
        assertEquals(1, cancelled)
    }

    @Test
    fun `a stream stays where it is when the budget for repeated sends is spent`() {
        var left = 2
        val all = List(5) { RelocatableStream({ left-- > 0 }) { cancelled++ }.also { streams.add("a", it) } }
        assertEquals(2, streams.relocateFrom("a"))
        assertEquals(2, cancelled)
        assertEquals(2, all.count { it.relocated })
    }

    @Test
    fun `a stream that has ended is not cancelled`() {
        streams.add("a", stream()).close()
        assertEquals(0, streams.relocateFrom("a"))
        assertEquals(0, cancelled)
    }

    private fun stream() = RelocatableStream({ true }) { cancelled++ }
}
