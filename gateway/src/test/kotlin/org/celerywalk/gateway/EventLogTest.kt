package org.celerywalk.gateway

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against a log that blocks its callers while its output is blocked, or that drops lines silently. */
class EventLogTest {
    @Test
    fun `a full queue drops and counts lines without blocking the caller`() {
        val outputUnblocked = CountDownLatch(1)
        val bytes = ByteArrayOutputStream()
        val blockedOutput = object : OutputStream() {
            override fun write(byte: Int) {
                outputUnblocked.await()
                bytes.write(byte)
            }
        }
        val log = EventLog("g", PrintStream(blockedOutput, true), { 1_000 }, 16, CLOSE_TIMEOUT)
        repeat(1_000) { log.write("request_done", "id" to it) }
        assertTrue(log.droppedLines >= 900, "${log.droppedLines}")
        outputUnblocked.countDown()
        log.close()
        val text = String(bytes.toByteArray())
        val written = text.lines().count { "request_done" in it }
        assertEquals(1_000L, written + log.droppedLines)
        assertEquals(log.droppedLines, reportedDrops(text), text.takeLast(300))
    }

    @Test
    fun `dropped lines are reported even if no further line is written`() {
        val bytes = ByteArrayOutputStream()
        val log = EventLog("g", PrintStream(bytes), { 5_000 }, 8_192, CLOSE_TIMEOUT)
        repeat(3_000) { log.write("burst", "n" to it) }
        val deadline = TimeSource.Monotonic.markNow() + 30.seconds
        while (reportedDrops(String(bytes.toByteArray())) < 1_000 && deadline.hasNotPassedNow()) Thread.onSpinWait()
        assertEquals(1_000, reportedDrops(String(bytes.toByteArray())))
        log.close()
        assertEquals(1_000, reportedDrops(String(bytes.toByteArray())))
    }

    private fun reportedDrops(text: String): Long =
        Regex(""""event":"log_dropped","instance":"g","lines":(\d+)""").findAll(text)
            .sumOf { it.groupValues[1].toLong() }

    @Test
    fun `lines beyond the limit per second are dropped and counted`() {
        val bytes = ByteArrayOutputStream()
        val log = EventLog("g", PrintStream(bytes), { 5_000 }, 8_192, CLOSE_TIMEOUT)
        repeat(3_000) { log.write("burst", "n" to it) }
        log.close()
        assertEquals(2_000, String(bytes.toByteArray()).lines().count { "burst" in it })
        assertEquals(1_000, log.droppedLines)
    }

    private companion object {
        // Long, since the log's thread may not be scheduled for a while on a busy machine.
        val CLOSE_TIMEOUT = 60.seconds
    }
}
