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

/** Guards against a log that holds up requests, or that loses lines without saying so. */
class EventLogTest {
    @Test
    fun `a full ring drops lines, counts them and never blocks the caller`() {
        val open = CountDownLatch(1)
        val bytes = ByteArrayOutputStream()
        val blocked = object : OutputStream() {
            override fun write(byte: Int) {
                open.await()
                bytes.write(byte)
            }
        }
        val log = EventLog("g", PrintStream(blocked, true), { 1_000 }, 16, CLOSE_WITHIN)
        repeat(1_000) { log.write("request_done", "id" to it) }
        assertTrue(log.droppedLines >= 900, "${log.droppedLines}")
        open.countDown()
        log.close()
        val text = String(bytes.toByteArray())
        val written = text.lines().count { "request_done" in it }
        assertEquals(1_000L, written + log.droppedLines)
        assertEquals(log.droppedLines, told(text), text.takeLast(300))
    }

    @Test
    fun `dropped lines are reported although no further line comes`() {
        val bytes = ByteArrayOutputStream()
        val log = EventLog("g", PrintStream(bytes), { 5_000 }, 8_192, CLOSE_WITHIN)
        repeat(3_000) { log.write("burst", "n" to it) }
        val giveUp = TimeSource.Monotonic.markNow() + 30.seconds
        while (told(String(bytes.toByteArray())) < 1_000 && giveUp.hasNotPassedNow()) Thread.onSpinWait()
        assertEquals(1_000, told(String(bytes.toByteArray())))
        log.close()
        assertEquals(1_000, told(String(bytes.toByteArray())))
    }

    private fun told(text: String): Long =
        Regex(""""event":"log_dropped","instance":"g","lines":(\d+)""").findAll(text)
            .sumOf { it.groupValues[1].toLong() }

    @Test
    fun `a second's limit drops the rest of the second`() {
        val bytes = ByteArrayOutputStream()
        val log = EventLog("g", PrintStream(bytes), { 5_000 }, 8_192, CLOSE_WITHIN)
        repeat(3_000) { log.write("burst", "n" to it) }
        log.close()
        assertEquals(2_000, String(bytes.toByteArray()).lines().count { "burst" in it })
        assertEquals(1_000, log.droppedLines)
    }

    private companion object {
        // Generous, since a busy machine may keep the log's thread from running.
        val CLOSE_WITHIN = 60.seconds
    }
}
