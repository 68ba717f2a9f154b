package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against callers and endpoints that read slowly and fill the memory, or are cut off although they read. */
class SlowCallerTest {
    private val fleet = TestFleet()
    private val callers = CopyOnWriteArrayList<Socket>()
    private val takenBytes = AtomicLong()
    private val cutStreams = AtomicInteger()

    @AfterEach
    fun close() {
        callers.forEach { it.close() }
        fleet.close()
    }

    @Test
    fun `a caller that does not read stops the endpoint and is cut off`() {
        startStreams()
        val caller = openStream(SMALL_BUFFER_BYTES)
        awaitStandstill()
        assertTrue(takenBytes.get() <= MAX_HELD_BYTES, "$takenBytes bytes were taken")
        assertEquals(0, cutStreams.get())
        awaitUntil({ fleet.gateway.metrics() }) { cutStreams.get() == 1 && UNREAD_METRIC in fleet.gateway.metrics() }
        assertFalse(ReceivedResponse.read(caller).isComplete)
    }

    @Test
    fun `a caller that reads slowly but steadily is not cut off`() {
        startStreams()
        val caller = openStream()
        repeat(SLOW_READS) {
            Thread.sleep(PAUSE_MILLIS)
            assertEquals(SLOW_READ_BYTES, caller.getInputStream().readNBytes(SLOW_READ_BYTES).size)
        }
        assertEquals(0, cutStreams.get())
        assertTrue(takenBytes.get() <= MAX_HELD_BYTES + SLOW_READS * SLOW_READ_BYTES, "$takenBytes bytes were taken")
    }

    @Test
    fun `slow readers on both sides hold no more than a fixed amount each`() = SlowEndpoint().use { slow ->
        val entry = """{"backend":"slow","address":"${slow.address}","zone":"dc","slots":64,"state":"ready"}"""
        fleet.store.put("servers", "i-slow", entry)
        startStreams(TestFleet.route("upload", "non_idempotent", service = "slow", timeoutMillis = TIMEOUT_MILLIS))
        val before = usedHeapBytes()
        val uploads = List(UPLOADS) {
            connect(null).also { caller -> thread(isDaemon = true) { caller.send("upload", UPLOAD) } }
        }
        repeat(STREAMS) { openStream(SMALL_BUFFER_BYTES) }
        awaitStandstill()
        val heldBytes = usedHeapBytes() - before
        assertTrue(takenBytes.get() <= STREAMS * MAX_HELD_BYTES, "$takenBytes bytes were taken")
        assertTrue(heldBytes <= MAX_HEAP_BYTES, "$heldBytes bytes of the heap are held")
        uploads.forEach { assertContains(String(it.getInputStream().readNBytes(STATUS_BYTES)), "200") }
    }

    // The endpoint streams events for as long as its connection takes them.
    private fun startStreams(vararg otherRoutes: String) {
        fleet.add(
            EndpointStandIn { _, socket ->
                socket.sendBufferSize = SMALL_BUFFER_BYTES
                val head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                try {
                    socket.getOutputStream().write(head.toByteArray())
                    while (true) {
                        socket.getOutputStream().write(CHUNK)
                        takenBytes.addAndGet(CHUNK.size.toLong())
                    }
                } catch (_: IOException) {
                    cutStreams.incrementAndGet()
                }
            },
            slots = 1_000,
        )
        fleet.start(TestFleet.route("stream", "streaming", timeoutMillis = TIMEOUT_MILLIS), *otherRoutes)
    }

    private fun openStream(receiveBytes: Int? = null): Socket = connect(receiveBytes).also { it.send("stream") }

    private fun connect(receiveBytes: Int?): Socket = Socket().also { caller ->
        callers += caller
        receiveBytes?.let { caller.receiveBufferSize = it }
        caller.soTimeout = TIMEOUT_MILLIS
        caller.connect(InetSocketAddress("127.0.0.1", fleet.gateway.port))
    }

    private fun Socket.send(route: String, body: ByteArray = ByteArray(0)) {
        val head = "POST /$route/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: ${callers.indexOf(this)}\r\n" +
            "X-Deadline-Ms: $TIMEOUT_MILLIS\r\nContent-Length: ${body.size}\r\n\r\n"
        getOutputStream().write(head.toByteArray() + body)
    }

    // Returns once the streams have come to a stop.
    private fun awaitStandstill() {
        var lastBytes = -1L
        awaitUntil {
            val bytes = takenBytes.get()
            Thread.sleep(STANDSTILL_MILLIS)
            (bytes > 0 && bytes == lastBytes).also { lastBytes = bytes }
        }
    }

    private fun usedHeapBytes(): Long = ManagementFactory.getMemoryMXBean().also { it.gc() }.heapMemoryUsage.used

    private companion object {
        const val UNREAD_METRIC = "celerywalk_responses_unread_total 1.0"
        const val TIMEOUT_MILLIS = 25_000
        const val SMALL_BUFFER_BYTES = 16 * 1024
        const val STANDSTILL_MILLIS = 400L
        const val STATUS_BYTES = 12
        val CHUNK = "data: ".padEnd(998, 'a').let { "3e8\r\n$it\n\n\r\n" }.toByteArray()

        // The buffers of the gateway's two connections have 192 KB, those of the test's ends up to 160 KB.
        const val MAX_HELD_BYTES = 400L * 1024

        // For longer than UNREAD_LIMIT, at 20 KB/s.
        const val SLOW_READ_BYTES = 4 * 1024
        const val PAUSE_MILLIS = 200L
        const val SLOW_READS = 65

        // The bodies of the uploads have 8 MB together, and each request may have 100 KB besides.
        const val UPLOADS = 8
        const val STREAMS = 100
        const val MAX_HEAP_BYTES = 20L * 1024 * 1024
        val UPLOAD = ByteArray(SlowEndpoint.BODY_BYTES)
    }
}
