package org.celerywalk.stream

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Answers a drain that is held up by long streams. */
class RelocatableStreamsTest {
    private val time = TestTimeSource()
    private val streams = RelocatableStreams(time)
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
        val all = List(5) { streams.begin(100, { left-- > 0 }) { cancelled++ }.also { streams.add("a", it) } }
        assertEquals(2, streams.relocateFrom("a"))
        assertEquals(2, cancelled)
        assertEquals(2, all.count { it.relocated })
    }

    @Test
    fun `new weights - the budget goes to the streams that would hold up their endpoint longest`() {
        var left = 2
        val all = listOf(80, 400, 60, 300, 90).associateWith { tokens ->
            streams.begin(tokens, { left-- > 0 }) { cancelled++ }.also { streams.add("a", it) }
        }
        assertEquals(2, streams.relocateFrom("a"))
        assertEquals(listOf(400, 300), all.filterValues { it.relocated }.keys.toList())
    }

    @Test
    fun `new weights - a stream that is about to end is left where it is`() {
        val ending = stream(tokens = 100).also { streams.add("a", it) }
        time += 700.milliseconds
        val begun = stream(tokens = 100).also { streams.add("a", it) }
        assertEquals(1, streams.relocateFrom("a"))
        assertTrue(begun.relocated && !ending.relocated)
        time += 4.seconds
        assertEquals(1, streams.relocateFrom("a"), "it goes on for longer than expected")
    }

    @Test
    fun `a stream of unknown length may go on for long`() {
        streams.add("a", stream(tokens = 0))
        assertEquals(1, streams.relocateFrom("a"))
    }

    @Test
    fun `the time of a stream is learned from those before`() {
        repeat(50) { streams.ended(tokens = 100, time = 400.milliseconds) }
        streams.add("a", stream(tokens = 100))
        assertEquals(0, streams.relocateFrom("a"))
        streams.add("a", stream(tokens = 200))
        assertEquals(1, streams.relocateFrom("a"))
    }

    @Test
    fun `a stream that the budget did not allow to move is asked again`() {
        var allowed = false
        streams.add("a", streams.begin(100, { allowed }) { cancelled++ })
        assertEquals(0, streams.relocateFrom("a"))
        allowed = true
        assertEquals(1, streams.relocateFrom("a"))
    }

    @Test
    fun `a stream that has ended is not cancelled`() {
        streams.add("a", stream()).close()
        assertEquals(0, streams.relocateFrom("a"))
        assertEquals(0, cancelled)
    }

    private fun stream(tokens: Int = 100) = streams.begin(tokens, { true }) { cancelled++ }
}
