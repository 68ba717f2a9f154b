package org.celerywalk.gateway

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

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
        var millis = 1_000L
        val log = EventLog("g", PrintStream(blocked, true), { millis }, ringLines = 16)
        repeat(1_000) { log.write("request_done", "id" to it) }
        assertTrue(log.droppedLines >= 900, "${log.droppedLines}")
        open.countDown()
        while (!String(bytes.toByteArray()).contains("request_done")) Thread.onSpinWait()
        val before = log.droppedLines
        millis += 1_000
        log.write("later")
        log.close()
        val text = String(bytes.toByteArray())
        val told = Regex(""""event":"log_dropped","instance":"g","lines":(\d+)""").findAll(text)
        assertEquals(before, told.sumOf { it.groupValues[1].toLong() }, text.takeLast(300))
    }

    @Test
    fun `a second's limit drops the rest of the second`() {
        val bytes = ByteArrayOutputStream()
        val log = EventLog("g", PrintStream(bytes), { 5_000 }, ringLines = 8_192)
        repeat(3_000) { log.write("burst", "n" to it) }
        log.close()
        assertEquals(2_000, String(bytes.toByteArray()).lines().count { "burst" in it })
        assertEquals(1_000, log.droppedLines)
    }
}
