package org.celerywalk.gateway.callers

import org.celerywalk.gateway.awaitUntil
import org.celerywalk.http.server.ScriptedSocketChannel
import org.celerywalk.http.server.UnstartedSelector
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against requests on kept connections whose bytes reach the parser in another order than they were sent. */
class DisconnectDetectingEndPointTest {
    private val incoming = ArrayDeque<String>()
    private var onRead: () -> Unit = {}
    private val time = TestTimeSource()
    private val unstarted = UnstartedSelector()
    private val endPoint = DisconnectDetectingEndPoint(
        ScriptedSocketChannel(::send, ::receive),
        unstarted.selector,
        unstarted.key,
        ReadContext(unstarted.scheduler, time, Runnable::run),
    ) { false }
    private val reader = Callback.from({ reads += fill() }, { isClosed = true })
    private val reads = mutableListOf<String>()
    private var isClosed = false
    private val readAheadBuffer = BufferUtil.allocate(DisconnectDetectingEndPoint.READ_AHEAD_BYTES)
    private var isDisconnected = false
    private var isUnread = false
    private var room = 0

    @Test
    fun `a read that overlaps a read-ahead gets the bytes in the order in which they were sent`() {
        incoming += listOf("POST /first ", "then the rest")
        endPoint.watchForDisconnect { isDisconnected = true }
        val overlappingRead = CompletableFuture<String>()
        // Jetty reads after the read-ahead has taken bytes from the socket and before it has stored them.
        onRead = {
            onRead = {}
            val jetty = thread { overlappingRead.complete(fill()) }
            awaitUntil { jetty.state == Thread.State.BLOCKED || !jetty.isAlive }
        }
        endPoint.detectDisconnect(readAheadBuffer)
        assertEquals("POST /first then the rest", overlappingRead.get(5, TimeUnit.SECONDS) + fill())
    }

    @Test
    fun `the bytes of several read-aheads precede those that are read later`() {
        incoming += listOf("a", "b")
        endPoint.watchForDisconnect { isDisconnected = true }
        repeat(2) { endPoint.detectDisconnect(readAheadBuffer) }
        endPoint.stopWatching()
        incoming += "c"
        assertEquals("ab" to "c", fill() to fill())
        assertEquals(0, endPoint.fill(BufferUtil.allocate(8)))
        assertFalse(isDisconnected)
    }

    /** Guards against a pipelined request without a response, because nobody reads the bytes that were read ahead. */
    @Test
    fun `a wait for bytes ends at once if some were read ahead`() {
        incoming += "next request"
        endPoint.watchForDisconnect { isDisconnected = true }
        endPoint.detectDisconnect(readAheadBuffer)
        endPoint.stopWatching()
        endPoint.fillInterested(reader)
        assertEquals(listOf("next request"), reads)
    }

    /** Guards against a stop that closes a connection although a request was read from it. */
    @Test
    fun `a connection is not closed as idle between the read-ahead of a request and its handling`() {
        val tasks = ArrayDeque<Runnable>()
        val closing = DisconnectDetectingEndPoint(
            ScriptedSocketChannel(receive = ::receive),
            unstarted.selector,
            unstarted.key,
            ReadContext(unstarted.scheduler, time, tasks::add),
        ) { true }
        incoming += "next request"
        closing.watchForDisconnect { isDisconnected = true }
        closing.detectDisconnect(readAheadBuffer)
        closing.stopWatching()
        closing.fillInterested(reader)
        closing.closeIfIdle()
        assertEquals(false to 1, isClosed to tasks.size)
    }

    @Test
    fun `the age of the first bytes that were read ahead is told once`() {
        incoming += listOf("a", "b")
        endPoint.watchForDisconnect { isDisconnected = true }
        repeat(2) {
            endPoint.detectDisconnect(readAheadBuffer)
            time += 3.seconds
        }
        assertEquals(6.seconds to null, endPoint.takeReadAheadAge() to endPoint.takeReadAheadAge())
    }

    @Test
    fun `a disconnect is reported once, and its input ends after the bytes that were read ahead`() {
        incoming += listOf("a", END)
        endPoint.watchForDisconnect {
            assertFalse(isDisconnected, "reported twice")
            isDisconnected = true
        }
        repeat(3) { endPoint.detectDisconnect(readAheadBuffer) }
        assertTrue(isDisconnected)
        assertEquals("a", fill())
        assertEquals(-1, endPoint.fill(BufferUtil.allocate(8)))
    }

    @Test
    fun `nothing is read ahead unless a request is watched, nor without bound`() {
        incoming += "a"
        endPoint.detectDisconnect(readAheadBuffer)
        endPoint.watchForDisconnect { isDisconnected = true }
        endPoint.stopWatching()
        endPoint.detectDisconnect(readAheadBuffer)
        assertEquals(1, incoming.size)
        endPoint.watchForDisconnect { isDisconnected = true }
        incoming += List(20) { "b".repeat(1024) }
        repeat(20) { endPoint.detectDisconnect(readAheadBuffer) }
        assertEquals(12, incoming.size)
    }

    /** Guards against a caller that is cut off although it reads, and one that is not although it does not read. */
    @Test
    fun `a connection is cut off only if it has taken no byte for the limit`() {
        endPoint.watchForDisconnect({ isUnread = true }) { isDisconnected = true }
        val outcomes = listOf(1 to 9.seconds, 1 to 9.seconds, 64 to 30.seconds, 0 to 9.seconds, 0 to 1.seconds)
            .map { (taken, duration) ->
                room = taken
                endPoint.flush(ByteBuffer.allocate(64))
                time += duration
                repeat(2) { endPoint.cutOffUnread() }
                isUnread.also { isUnread = false }
            }
        assertEquals(listOf(false, false, false, false, true), outcomes)
        assertFalse(isDisconnected || endPoint.isOpen)
    }

    /** Guards against a caller that is cut off after a freeze of the gateway, before it is offered the next bytes. */
    @Test
    fun `a connection is not cut off at the first check that finds it overdue`() {
        endPoint.watchForDisconnect({ isUnread = true }) { isDisconnected = true }
        endPoint.flush(ByteBuffer.allocate(64))
        time += 60.seconds
        endPoint.cutOffUnread()
        room = 1
        endPoint.flush(ByteBuffer.allocate(64))
        endPoint.cutOffUnread()
        assertFalse(isUnread)
    }

    private fun send(source: ByteBuffer): Int =
        minOf(room, source.remaining()).also { source.position(source.position() + it) }

    private fun fill(): String =
        BufferUtil.allocate(64 * 1024).also(endPoint::fill).let { Charsets.ISO_8859_1.decode(it).toString() }

    private fun receive(target: ByteBuffer): Int {
        val text = incoming.removeFirstOrNull().orEmpty()
        if (text == END) return -1
        target.put(text.toByteArray())
        onRead()
        return text.length
    }

    private companion object {
        const val END = "end of input"
    }
}
