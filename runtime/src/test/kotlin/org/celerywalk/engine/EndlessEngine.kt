package org.celerywalk.engine

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Engine that answers one request with [start] and then [repeated] without end, until its connection is closed. */
internal class EndlessEngine(private val start: String, private val repeated: String) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val takenBytes = AtomicLong()
    private val closed = CountDownLatch(1)

    /** Requires that a stream fails, takes a bounded number of bytes and closes its connection. */
    fun assertStreamFails() {
        thread(isDaemon = true) { sendWithoutEnd() }
        val listener = FailureListener()
        val limits = EngineStreamLimits(threads = 2, idleTimeout = 10.seconds)
        EngineStreams("http://127.0.0.1:${server.localPort}", connectTimeout = 5.seconds, limits).use {
            it.open("/generate", "a", "{}".toByteArray(), listener)
            val error = listener.error.get(8, TimeUnit.SECONDS)
            assertTrue(closed.await(5, TimeUnit.SECONDS), "still open after $error, $takenBytes bytes taken")
        }
        assertTrue(takenBytes.get() <= MAX_TAKEN_BYTES, "$takenBytes bytes were taken")
    }

    override fun close() = server.close()

    private fun sendWithoutEnd() = server.accept().use { socket ->
        val part = repeated.repeat(PART_BYTES / repeated.length).toByteArray()
        try {
            socket.getOutputStream().write(start.toByteArray())
            while (true) {
                socket.getOutputStream().write(part)
                takenBytes.addAndGet(part.size.toLong())
            }
        } catch (_: IOException) {
            closed.countDown()
        }
    }

    private companion object {
        const val PART_BYTES = 4_096

        // The longest event, and what the buffers of the sockets hold in addition.
        const val MAX_TAKEN_BYTES = 16L * 1024 * 1024
    }
}
