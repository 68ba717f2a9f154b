package org.celerywalk.http.strict

import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.test.assertFailsWith

/** Guards against bytes that are no response and are taken for one by a lenient client. */
class ResponseSyntaxTest {
    @Test
    fun `each malformed response is refused, however its bytes arrive`() =
        MalformedResponses.all("ab").forEach { response ->
            PART_SIZES.forEach { size ->
                assertFailsWith<MalformedResponseException>("in parts of $size: $response") { check(response, size) }
            }
        }

    @Test
    fun `each sound response is accepted, however its bytes arrive`() =
        MalformedResponses.sound("ab").forEach { response -> PART_SIZES.forEach { check(response, it) } }

    @Test
    fun `the response to HEAD has no body`() {
        val syntax = ResponseSyntax()
        repeat(2) {
            syntax.expectResponse("HEAD")
            syntax.check(bytes("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"))
        }
    }

    @Test
    fun `a connection that received more than a response takes no further request`() {
        val syntax = ResponseSyntax().apply { expectResponse("GET") }
        syntax.check(bytes(OK))
        syntax.expectResponse("GET")
        syntax.check(bytes(OK + OK))
        assertFailsWith<MalformedResponseException> { syntax.expectResponse("GET") }
    }

    @Test
    fun `interim responses without end are refused`() {
        val syntax = ResponseSyntax().apply { expectResponse("GET") }
        assertFailsWith<MalformedResponseException> {
            repeat(2_000) { syntax.check(bytes("HTTP/1.1 103 Early Hints\r\n\r\n")) }
        }
    }

    private fun check(response: String, partBytes: Int) {
        val syntax = ResponseSyntax().apply { expectResponse("POST") }
        response.chunked(partBytes).forEach { syntax.check(bytes(it)) }
    }

    private fun bytes(text: String) = ByteBuffer.wrap(text.toByteArray(Charsets.ISO_8859_1))

    private companion object {
        const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        val PART_SIZES = listOf(1, 3, 50_000)
    }
}
