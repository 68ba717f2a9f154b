package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Guards against a stream that breaks off, whose second try fails, and that looks complete to its caller: for each
 * framing of both responses and of the caller's.
 */
class ResumedStreamTest {
    private val fleet = TestFleet()
    private var first = ""
    private var second = ""

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a stream whose second try fails is not complete`() {
        start()
        val errors = framings("ERROR").map { "HTTP/1.1 500 X\r\n$it" }
        val brokenErrors = brokenFramings("ERROR").map { "HTTP/1.1 500 X\r\n$it" }
        val brokenStreams = (brokenFramings("id: 2\ndata: b\n\n") + framings("id: 2\ndata: b\n\nid: 3\ndat"))
            .map { "HTTP/1.1 200 X\r\n$SIGNED$it" }
        val refusals = listOf("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", "")
        forEachTry(errors + brokenErrors + brokenStreams + refusals) { description, received ->
            assertFalse(received.isSuccess && received.isComplete, description)
            assertFalse("ERROR" in received.text, description)
        }
    }

    @Test
    fun `a stream whose second try has the rest is complete and in order`() {
        start()
        val rests = framings("id: 2\ndata: b\n\n").map { "HTTP/1.1 200 X\r\n$SIGNED$it" }
        forEachTry(rests) { description, received ->
            assertTrue(received.isSuccess && received.isComplete, description)
            assertEquals(listOf("id: 1", "id: 2"), Regex("id: \\d").findAll(received.text).map { it.value }.toList())
        }
    }

    private fun forEachTry(seconds: List<String>, check: (String, ReceivedResponse) -> Unit) =
        (brokenFramings(FIRST_EVENT) + framings("${FIRST_EVENT}id: 2\nda")).forEach { firstEnd ->
            seconds.forEach { secondTry ->
                first = "HTTP/1.1 200 X\r\n$SIGNED$firstEnd"
                second = secondTry
                CALLERS.forEach { (version, fields) ->
                    val received = call(version, fields)
                    check("$version $fields\nfirst: $first\nsecond: $second\n$received", received)
                }
            }
        }

    private fun start() {
        repeat(2) {
            fleet.add { request, socket ->
                val response = if (request.fields["last-event-id"] == null) first else second
                socket.getOutputStream().write(response.toByteArray())
            }
        }
        fleet.start(TestFleet.route("resume", "streaming", """"resumable":true,"max_attempts":2"""))
    }

    private fun framings(body: String) = listOf(
        "Transfer-Encoding: chunked\r\n\r\n${chunk(body)}0\r\n\r\n",
        "Content-Length: ${body.length}\r\n\r\n$body",
        "\r\n$body",
    )

    private fun brokenFramings(body: String) = listOf(
        "Transfer-Encoding: chunked\r\n\r\n${chunk(body)}",
        "Transfer-Encoding: chunked\r\n\r\n${chunk(body)}5\r\nid",
        "Content-Length: ${body.length + 1}\r\n\r\n$body",
    )

    private fun chunk(body: String) = "${body.length.toString(radix = 16)}\r\n$body\r\n"

    private fun call(version: String, fields: String): ReceivedResponse =
        Socket("127.0.0.1", fleet.gateway.port).use { socket ->
            socket.soTimeout = MAX_SILENCE_MILLIS
            val request = "POST /resume/x $version\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 4000\r\n" +
                "Content-Length: 1\r\n$fields\r\np"
            socket.getOutputStream().write(request.toByteArray())
            ReceivedResponse.read(socket)
        }

    private companion object {
        // A connection that is kept after a complete response is silent for this time.
        const val MAX_SILENCE_MILLIS = 200
        const val SIGNED = "X-Response-Signature: s\r\n"
        const val FIRST_EVENT = "id: 1\ndata: a\n\n"
        val CALLERS = listOf("HTTP/1.1" to "", "HTTP/1.1" to "Connection: close\r\n", "HTTP/1.0" to "")
    }
}
