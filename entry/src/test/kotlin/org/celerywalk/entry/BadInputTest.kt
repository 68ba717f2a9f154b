package org.celerywalk.entry

import org.celerywalk.settings.EntryLimits
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BadInputTest {
    private val agent = FakeAgent("r0")
    private val entry = EntryFixture(agent, limits = EntryLimits(maxRequestBytes = 2_000)).start()

    // Each test also checks that the process still serves requests.
    @AfterEach
    fun close() {
        entry.chat(stream = false).use { assertEquals(200, it.code) }
        entry.close()
    }

    @Test
    fun `an oversized body is refused with and without a declared length`() {
        val largeBody = EntryFixture.chatBody(stream = false, text = "x".repeat(3_000))
        assertRefused(entry.sendRaw(request(largeBody)), 413, "body_too_large")
        val chunk = "${largeBody.length.toString(16)}\r\n$largeBody\r\n0\r\n\r\n"
        assertRefused(entry.sendRaw(request(chunk, "Transfer-Encoding: chunked")), 413, "body_too_large")
    }

    @Test
    fun `oversized header fields are refused`() {
        assertRefused(entry.sendRaw(request("{}", length("{}"), "x-long: ${"x".repeat(20_000)}")), 431, "bad_request")
    }

    @Test
    fun `a body that is not a valid request is refused`() {
        mapOf(
            "{\"model\":" to "invalid_json",
            "[]" to "invalid_json",
            "{\"model\":\"a\",\"model\":\"b\"}" to "invalid_json",
            "{\"model\":7}" to "invalid_model",
            "[".repeat(500) to "invalid_json",
            "{\"model\":\"m\",\"messages\":[]}" to "invalid_messages",
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\\ud800\"}]}" to "invalid_text",
            "{\"model\":\"m\u00ff\"}" to "invalid_utf8",
            EntryFixture.chatBody(false).replace("\"stream\":false", "\"max_tokens\":-1") to "invalid_max_tokens",
        ).forEach { (body, code) -> assertRefused(entry.sendRaw(request(body)), 400, code) }
        assertRefused(entry.sendRaw(request(EntryFixture.chatBody(false, model = "other"))), 404, "model_not_found")
    }

    @Test
    fun `a missing, invalid, second or misplaced key is refused and the response does not contain a key`() {
        val key = EntryFixture.KEY
        val otherKey = "cw_k1_ffffffffffffffff"
        mapOf(
            "GET /v1/models HTTP/1.1\r\n" to (401 to "missing_key"),
            "GET /v1/models HTTP/1.1\r\nx-api-key: $otherKey\r\n" to (401 to "invalid_key"),
            "GET /v1/models HTTP/1.1\r\nx-api-key: $key\r\nAuthorization: Bearer $key\r\n" to (400 to "several_keys"),
            "GET /v1/models?api_key=$key HTTP/1.1\r\n" to (400 to "key_in_target"),
            "GET /v1/models?a=${key.replace("_", "%5F")} HTTP/1.1\r\nx-api-key: $key\r\n" to (400 to "key_in_target"),
        ).forEach { (head, expected) ->
            val answer = entry.sendRaw("${head}Host: e\r\nConnection: close\r\n\r\n")
            assertRefused(answer, expected.first, expected.second)
            assertFalse(key in answer || otherKey in answer)
        }
        assertRefused(entry.sendRaw(request(EntryFixture.chatBody(false, text = key))), 400, "key_in_content")
    }

    @Test
    fun `ambiguous framing is refused and not forwarded`() {
        // Guards against request smuggling: two processes that see different boundaries between requests.
        val body = EntryFixture.chatBody(false)
        val invalidHeaders = listOf(
            listOf(length(body), "Content-Length: 3"),
            listOf(length(body), "Transfer-Encoding: chunked"),
            listOf(length(body), "x-folded: a\r\n b"),
            listOf("Transfer-Encoding: gzip, identity"),
            listOf(length(body), "bad name: x"),
            listOf("Content-Length: -1"),
        )
        invalidHeaders.forEach {
            assertContains(entry.sendRaw(request(body, *it.toTypedArray())), Regex("^HTTP/1.1 (400|501) "))
        }
        assertTrue(agent.requests.isEmpty())
    }

    @Test
    fun `hop-by-hop and unknown header fields do not reach a service`() {
        val head = "GET /services/stock HTTP/1.1\r\nHost: e\r\nConnection: close, x-custom\r\nx-custom: 1\r\n" +
            "x-client-account: other\r\nCookie: a=b\r\nAccept: text/plain\r\nx-api-key: ${EntryFixture.KEY}\r\n\r\n"
        assertContains(entry.sendRaw(head), "HTTP/1.1 200 ")
        val serviceRequest = agent.serviceRequests.single()
        assertEquals("kyushu", serviceRequest.clientAccount)
        assertEquals(listOf("accept" to "text/plain"), serviceRequest.headersList.map { it.name to it.value })
        assertFalse(EntryFixture.KEY in serviceRequest.toString())
    }

    @Test
    fun `a process whose port is in use fails to start and does not affect the other process`() {
        val secondEntry = EntryFixture(httpPort = entry.daemon.httpPort)
        val failure = assertFailsWith<StartException> { secondEntry.daemon.start() }
        assertContains(failure.message.orEmpty(), "cannot listen on 127.0.0.1:${entry.daemon.httpPort}")
    }

    private fun request(body: String, vararg headers: String): String {
        val fields = headers.ifEmpty { arrayOf(length(body)) }.joinToString("\r\n")
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nConnection: close\r\n" +
            "Authorization: Bearer ${EntryFixture.KEY}\r\n$fields\r\n\r\n$body"
    }

    private fun length(body: String) = "Content-Length: ${body.length}"

    private fun assertRefused(answer: String, status: Int, code: String) {
        assertContains(answer, "HTTP/1.1 $status ")
        assertContains(answer, "\"code\":\"$code\"")
        assertContains(answer, "\"execution\":\"not_run\"")
        assertContains(answer.lowercase(), "x-request-id: ")
    }
}
