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

/** Guards against a partial event in a stream that fails in the middle of an event and resumes at another endpoint. */
@OptIn(ExperimentalKotest::class)
class ServerSentEventSplitterTest {
    @Test
    fun `stream interrupted after chunks of any size - the forwarded part ends with its last complete event`() {
        runBlocking {
            val stream = (1..12).joinToString("") { "id: $it\ndata: word $it\n\n" }
            checkAll(PropTestConfig(seed = 5, iterations = 300), Arb.list(Arb.int(1..40), 1..12)) { sizes ->
                val boundaries = ServerSentEventSplitter()
                var readChars = 0
                val forwarded = StringBuilder()
                sizes.forEach { size ->
                    val end = minOf(stream.length, readChars + size)
                    forwarded.append(boundaries.add(stream.substring(readChars, end)))
                    readChars = end
                }
                val completeEvents = stream.substring(0, readChars).substringBeforeLast("\n\n", "")
                val eventCount = completeEvents.split("\n\n").count { it.isNotEmpty() }
                assertEquals((1..eventCount).joinToString("") { "id: $it\ndata: word $it\n\n" }, forwarded.toString())
                assertEquals(eventCount.takeIf { it > 0 }?.toString(), boundaries.lastEventId)
            }
        }
    }

    @Test
    fun `a partial event is discarded before the stream resumes`() {
        val boundaries = ServerSentEventSplitter()
        boundaries.add("id: 1\ndata: a\n\nid: 2\nda")
        boundaries.discardPartialEvent()
        assertEquals("id: 2\ndata: b\n\n", boundaries.add("id: 2\ndata: b\n\n"))
        assertEquals("2", boundaries.lastEventId)
    }
}
