package org.celerywalk.cli

import com.github.ajalt.clikt.testing.test
import java.nio.file.Files
import kotlin.io.path.writeLines
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against a timeline without the events that explain a failed request, or with unrelated events. */
class ExplainCommandTest {
    private val logFile = Files.createTempFile("gateway", ".log").also { it.toFile().deleteOnExit() }

    @Test
    fun `a lost request shows its endpoint's ejection and no events of other requests or endpoints`() {
        logFile.writeLines(
            listOf(
                """{"t":9000,"event":"endpoint_ejected","instance":"g1","endpoint":"i-1"}""",
                """{"t":9100,"event":"endpoint_ejected","instance":"g1","endpoint":"i-2"}""",
                """{"t":9200,"event":"store_lost","instance":"g2","cause":"timeout"}""",
                """x: {"t":10020,"event":"request_sent","instance":"g1","id":"a","endpoint":"i-1","status":0}""",
                """{"t":10010,"event":"request_placed","instance":"g1","id":"a","endpoint":"i-1","cached":800}""",
                """{"t":10030,"event":"request_done","instance":"g1","id":"a","outcome":"lost","status":502}""",
                """{"t":10040,"event":"request_done","instance":"g1","id":"b","outcome":"answered"}""",
                "not an event", "{broken",
            ),
        )
        val result = celerywalk().test("explain a $logFile")
        assertEquals(0, result.statusCode)
        val events = result.stdout.lines().filter { it.isNotBlank() }
            .map { it.substringAfter("ms  ").substringBefore(' ') }
        assertEquals(listOf("endpoint_ejected", "request_placed", "request_sent", "request_done"), events)
        assertContains(result.stdout, "status=502")
        assertFalse("i-2" in result.stdout || "g2" in result.stdout || "id=b" in result.stdout, result.stdout)
    }

    @Test
    fun `a refused call shows the limits of the endpoints that had no room`() {
        val refusal = """"event":"call_refused","instance":"g1","id":"a","reason":"queue_late","limits":"i-1:3,i-2:6""""
        logFile.writeLines(
            listOf(
                """{"t":9000,"event":"endpoint_limit","instance":"g1","endpoint":"i-1","limit":3,"had":6}""",
                """{"t":9100,"event":"endpoint_slow","instance":"g1","endpoint":"i-2","times_slower":"4.0"}""",
                """{"t":9200,"event":"endpoint_limit","instance":"g1","endpoint":"i-3","limit":2,"had":6}""",
                """{"t":10010,$refusal}""",
            ),
        )
        val lines = celerywalk().test("explain a $logFile").stdout.lines().filter { it.isNotBlank() }
        val events = lines.map { it.substringAfter("ms  ").substringBefore(' ') }
        assertEquals(listOf("endpoint_limit", "endpoint_slow", "call_refused"), events)
    }

    @Test
    fun `a request without log lines is an error`() {
        logFile.writeLines(listOf("""{"t":1,"event":"start","instance":"g1"}"""))
        val result = celerywalk().test("explain unknown $logFile")
        assertEquals(2, result.statusCode)
        assertContains(result.stderr, "no line of the logs names the request unknown")
    }
}
