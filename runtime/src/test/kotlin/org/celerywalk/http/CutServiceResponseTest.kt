package org.celerywalk.http

import org.celerywalk.error.Execution
import org.celerywalk.http.strict.RawServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against the response of a plain service that breaks off and counts as the complete answer of its call. */
class CutServiceResponseTest {
    private val request = PlainServiceRequest("POST", "/swaps", emptyList(), "{}".toByteArray())

    @Test
    fun `a response that is shorter than its framing is cut`() {
        assertCut(RawServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nswap"))
        assertCut(RawServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nswap\r\n"))
        assertCut(RawServer("HTTP/1.1 200 OK\r\n\r\nswap", endsWithReset = true))
    }

    @Test
    fun `an event stream that ends inside an event is cut`() {
        assertCut(RawServer(response(EVENT_STREAM, "data: 1\n\ndata: 2\n")))
        assertCut(RawServer(response(EVENT_STREAM, "data: 1\n\ndata: 2\n", "Content-Length: 17")))
    }

    @Test
    fun `an event stream without length that ends before its first event is cut`() =
        assertCut(RawServer(response(EVENT_STREAM, "")))

    @Test
    fun `a JSON document without length that ends early is cut`() =
        listOf("", "{", "{\"swap\": 7", "[1, 2").forEach { assertCut(RawServer(response(JSON, it)), it) }

    @Test
    fun `a response without length that ends with its connection is complete`() {
        val bodies = listOf(
            EVENT_STREAM to "data: 1\n\ndata: 2\n\n",
            JSON to "{\"swap\": 7}",
            "text/plain" to "swapped",
            "text/plain" to "",
        )
        bodies.forEach { (type, body) -> assertEquals(body, answerOf(RawServer(response(type, body))), type) }
        assertEquals("", answerOf(RawServer(response(EVENT_STREAM, "", "Content-Length: 0"))))
    }

    private fun assertCut(service: RawServer, message: String? = null) =
        assertEquals(Execution.UNKNOWN.name, answerOf(service), message)

    // Returns the body, or the execution state if there is no answer.
    private fun answerOf(service: RawServer): String = service.use { server ->
        PlainServiceClient(server.url, HttpLimits(5.seconds, 5.seconds, 1, 1)).use { client ->
            client.call(request).get().fold({ it.execution.name }, { it.body.decodeToString() })
        }
    }

    private fun response(type: String, body: String, framing: String = "X-Id: 1") =
        "HTTP/1.1 200 OK\r\nContent-Type: $type\r\n$framing\r\n\r\n$body"

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val JSON = "application/json; charset=utf-8"
    }
}
