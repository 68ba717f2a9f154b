package org.celerywalk.stream

import io.kotest.common.ExperimentalKotest
import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against fragments of events in a stream that goes on at another endpoint. */
@OptIn(ExperimentalKotest::class)
class EventBoundariesTest {
    @Test
    fun `however a stream is cut into pieces and broken off, the passed part ends with its last whole event`() {
        runBlocking {
            val stream = (1..12).joinToString("") { "id: $it\ndata: word $it\n\n" }
            checkAll(PropTestConfig(seed = 5, iterations = 300), Arb.list(Arb.int(1..40), 1..12)) { sizes ->
                val boundaries = EventBoundaries()
                var read = 0
                val passed = StringBuilder()
                sizes.forEach { size ->
                    val end = minOf(stream.length, read + size)
                    passed.append(boundaries.add(stream.substring(read, end)))
                    read = end
                }
                val whole = stream.substring(0, read).substringBeforeLast("\n\n", "")
                val events = whole.split("\n\n").count { it.isNotEmpty() }
                assertEquals((1..events).joinToString("") { "id: $it\ndata: word $it\n\n" }, passed.toString())
                assertEquals(events.takeIf { it > 0 }?.toString(), boundaries.lastEventId)
            }
        }
    }

    @Test
    fun `a fragment is dropped before the stream goes on`() {
        val boundaries = EventBoundaries()
        boundaries.add("id: 1\ndata: a\n\nid: 2\nda")
        boundaries.dropFragment()
        assertEquals("id: 2\ndata: b\n\n", boundaries.add("id: 2\ndata: b\n\n"))
        assertEquals("2", boundaries.lastEventId)
    }
}
