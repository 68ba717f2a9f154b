package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/**
 * Guards against the response of the next endpoint in the middle of a stream that broke off, and against such a stream
 * that looks complete: the next endpoint fails, refuses, or sends something other than the rest of the stream.
 */
class BrokenStreamTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `an error of the next endpoint is not relayed into the stream`() = assertBrokenOff(
        respond("500 X", SIGNED, "ERROR"),
        respond("500 X", "", "id: 2\ndata: ERROR\n\n"),
        respond("503 X", "X-Not-Executed: 1\r\n", "ERROR"),
        respond("503 X", SIGNED, "ERROR"),
        respond("421 X", "", "ERROR"),
        respond("404 X", SIGNED, "ERROR"),
        respond("204 X", SIGNED, ""),
        respond("302 X", "Location: /\r\n", "ERROR"),
    )

    @Test
    fun `bytes of the next endpoint that are no response are not relayed into the stream`() = assertBrokenOff(
        "",
        "ERROR\r\n\r\n",
        "id: 2\ndata: ERROR\n\n",
        "HTTP/1.1 200",
        "HTTP/1.1 200 X\r\n$SIGNED",
        "HTTP/1.1 103 X\r\n\r\n",
        "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nERROR",
        "HTTP/1.1 200 X\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 ERROR\r\n\r\nERROR",
        "HTTP/1.1 200 X\r\n${SIGNED}Content-Length: 40\r\n\r\nid: 2\ndata: ERR",
    )

    @Test
    fun `a success of the next endpoint that has no signature is not relayed into the stream`() = assertBrokenOff(
        respond("200 X", "", ""),
        respond("200 X", "", "ERROR"),
        respond("200 X", "", "ERROR\n\n"),
        respond("200 X", "Content-Type: text/event-stream\r\n", "id: 2\ndata: ERROR\n\n"),
    )

    @Test
    fun `a success of the next endpoint that is no event stream is not relayed into the stream`() = assertBrokenOff(
        respond("200 X", "${SIGNED}Content-Type: text/html\r\n", ""),
        respond("200 X", "${SIGNED}Content-Type: text/html\r\n", "<p>ERROR</p>\n\n"),
        respond("200 X", "${SIGNED}Content-Type: application/json; charset=utf-8\r\n", "{\"error\":\n\n\"ERROR\"}\n\n"),
    )

    private fun respond(status: String, fields: String, body: String) =
        "HTTP/1.1 $status\r\n${fields}Content-Length: ${body.length}\r\n\r\n$body"

    private fun assertBrokenOff(vararg nextResponses: String) {
        nextResponses.forEachIndexed { i, next ->
            repeat(2) {
                fleet.add("s-$i") { request, socket ->
                    val response = if (request.fields["last-event-id"] == null) BEGUN else next
                    socket.getOutputStream().write(response.toByteArray())
                }
            }
        }
        val routes = nextResponses.indices.map {
            TestFleet.route("stream-$it", "streaming", """"resumable":true,"max_attempts":2""", service = "s-$it")
        }
        fleet.start(*routes.toTypedArray())
        nextResponses.forEachIndexed { i, next ->
            val (text, failure) = readStream("stream-$i")
            assertEquals(FIRST_EVENT, text, next)
            assertNotNull(failure, "the stream looks complete: $next")
        }
    }

    // Returns what a caller received of a stream, and the error with which it ended.
    private fun readStream(route: String): Pair<String, IOException?> {
        val text = StringBuilder()
        return fleet.gateway.client.newCall(fleet.request(route).build()).execute().use { response ->
            val failure = try {
                val source = response.body.source()
                while (!source.exhausted()) text.append(source.buffer.readUtf8())
                null
            } catch (e: IOException) {
                e
            }
            text.toString() to failure
        }
    }

    private companion object {
        const val SIGNED = "X-Response-Signature: s\r\n"
        const val FIRST_EVENT = "id: 1\ndata: a\n\n"
        const val BEGUN = "HTTP/1.1 200 X\r\n${SIGNED}Content-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n14\r\n${FIRST_EVENT}id: 2\r\n"
    }
}
