package org.celerywalk.engine

import org.celerywalk.http.strict.MalformedResponses
import org.celerywalk.http.strict.RawServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a broken stream that counts as complete, and a complete one that counts as broken. */
class EngineStreamEndTest {
    private class Listener : EngineListener {
        val end = CompletableFuture<String>()
        private val text = StringBuilder()

        override fun onStarted(incarnation: String, weights: String, promptTokens: Int, cachedTokens: Int) = Unit

        override fun onTokens(offset: Int, count: Int, text: String) {
            this.text.append(text)
        }

        override fun onFinished(totalTokens: Int, reason: String) {
            end.complete("$totalTokens tokens: $text")
        }

        override fun onFailed(error: EngineError) {
            end.complete("failed")
        }
    }

    @Test
    fun `a complete stream that ends with its connection is complete`() =
        assertEquals("1 tokens: one", endOf(RawServer(HEAD + STARTED + TOKENS + FINISHED)))

    @Test
    fun `a stream may use any line end of the event stream format`() {
        listOf("\r\n", "\r").forEach { lineEnd ->
            val events = (STARTED + TOKENS + FINISHED).replace("\n", lineEnd)
            assertEquals("1 tokens: one", endOf(RawServer(HEAD + events)), lineEnd.map { it.code }.toString())
        }
    }

    @Test
    fun `a byte order mark precedes the first event`() =
        assertEquals("1 tokens: one", endOf(RawServer(HEAD + "\u00ef\u00bb\u00bf" + STARTED + TOKENS + FINISHED)))

    @Test
    fun `data without an event name is not part of the next event`() {
        val unnamed = "data: {\"total_tokens\": 0, \"reason\": \"stop\"}\n\n"
        assertEquals("1 tokens: one", endOf(RawServer(HEAD + STARTED + TOKENS + unnamed + FINISHED)))
    }

    @Test
    fun `a stream that ends before its terminal event has failed`() {
        val bodies = listOf("", STARTED, STARTED + TOKENS, STARTED + TOKENS + FINISHED.dropLast(1), ": waiting\n\n")
        bodies.forEach { body ->
            val chunkedHead = head("Transfer-Encoding: chunked")
            val responses = listOf(
                HEAD + body,
                head("Content-Length: ${body.length}") + body,
                head("Content-Length: 999") + body,
                chunkedHead + chunk(body),
                chunkedHead + chunk(body) + "0\r\n\r\n",
            )
            responses.forEach { assertEquals("failed", endOf(RawServer(it)), it) }
            assertEquals("failed", endOf(RawServer(HEAD + body, endsWithReset = true)), body)
        }
    }

    @Test
    fun `a response that is no HTTP has failed, although its stream is complete`() {
        val stream = STARTED + TOKENS + FINISHED
        val fields = listOf(EVENT_STREAM)
        val malformed = MalformedResponses.all(stream, fields)
        malformed.forEach { assertEquals("failed", endOf(RawServer(it)), it) }
        MalformedResponses.interimOnly(fields).forEach { assertEquals("failed", endOf(RawServer(it)), it) }
        val sound = MalformedResponses.sound(stream, fields)
        sound.forEach { assertEquals("1 tokens: one", endOf(RawServer(it)), it) }
    }

    private fun endOf(engine: RawServer): String = engine.use {
        val listener = Listener()
        val limits = EngineStreamLimits(threads = 2, idleTimeout = 5.seconds)
        EngineStreams(it.url, connectTimeout = 5.seconds, limits).use { streams ->
            streams.open("/generate", "a", "{}".toByteArray(), listener)
            listener.end.get(10, TimeUnit.SECONDS)
        }
    }

    private fun head(framing: String) = HEAD.removeSuffix("\r\n") + "$framing\r\n\r\n"

    private fun chunk(body: String) = if (body.isEmpty()) "" else "${body.length.toString(radix = 16)}\r\n$body\r\n"

    private companion object {
        const val EVENT_STREAM = "Content-Type: text/event-stream"
        const val HEAD = "HTTP/1.1 200 OK\r\n$EVENT_STREAM\r\n\r\n"
        const val STARTED = "event: started\n" +
            "data: {\"incarnation\": \"e1\", \"weights\": \"w1\", \"prompt_tokens\": 2, \"cached_tokens\": 0}\n\n"
        const val TOKENS = "event: tokens\ndata: {\"offset\": 0, \"count\": 1, \"text\": \"one\"}\n\n"
        const val FINISHED = "event: finished\ndata: {\"total_tokens\": 1, \"reason\": \"stop\"}\n\n"
    }
}
