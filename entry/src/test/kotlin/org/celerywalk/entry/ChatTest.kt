package org.celerywalk.entry

import org.celerywalk.protocol.Execution
import org.junit.jupiter.api.AfterEach
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ChatTest {
    private val firstAgent = FakeAgent("r0")
    private val secondAgent = FakeAgent("r1", queuedTokens = 1_000_000)
    private val entry = EntryFixture(firstAgent, secondAgent).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `an answer that is not streamed is one JSON object with the token counts`() {
        entry.chat(stream = false).use {
            val body = it.body.string()
            assertEquals(200, it.code)
            assertContains(body, "\"content\":\"one two three\"")
            assertContains(body, "\"prompt_tokens\":9,\"completion_tokens\":3,\"total_tokens\":12")
            assertContains(body, "\"cached_tokens\":4")
        }
        entry.await { entry.settledTokens.get() == 12L }
    }

    @Test
    fun `a streamed answer ends with its token counts and the terminator`() {
        entry.chat(stream = true).use {
            val events = it.body.string().trim().split("\n\n")
            assertEquals("text/event-stream", it.header("content-type"))
            assertEquals("data: [DONE]", events.last())
            assertEquals("one two three", textOf(events))
            assertContains(events[events.size - 2], "\"cached_tokens\":4")
        }
    }

    @Test
    fun `an answer is resumed on another replica after a crash`() {
        // Guards against repeated or lost tokens when an endpoint fails in the middle of an answer.
        firstAgent.onGenerate = {
            it.sendStarted()
            it.sendToken("one")
            it.sendToken(" two")
            it.crash()
        }
        entry.chat(stream = true).use { assertEquals("one two three", textOf(it.body.string().split("\n\n"))) }
        val resumedRequest = secondAgent.requests.single()
        assertEquals(2, resumedRequest.resumeOffset)
        assertEquals("one two", resumedRequest.resumeText)
    }

    @Test
    fun `an answer that cannot be completed ends with an error and no terminator`() {
        listOf(firstAgent, secondAgent).forEach { agent ->
            agent.onGenerate = {
                it.sendStarted()
                if (it.request.resumeOffset == 0) it.sendToken("one")
                it.sendFinished(totalTokens = 7)
            }
        }
        val text = entry.chat(stream = true).use { it.body.string() }
        assertContains(text, "\"execution\":\"ran\"")
        assertFalse("[DONE]" in text)
    }

    @Test
    fun `a refusal by all replicas is reported as not run with a retry delay`() {
        listOf(firstAgent, secondAgent).forEach { agent -> agent.onGenerate = { it.sendRefused(Execution.NOT_RUN) } }
        entry.chat(stream = true).use {
            assertEquals(503, it.code)
            assertEquals("2", it.header("retry-after"))
            assertContains(it.body.string(), "\"execution\":\"not_run\"")
        }
    }

    @Test
    fun `log lines and metrics contain neither keys nor prompt text`() {
        val log = ByteArrayOutputStream()
        val console = System.out
        System.setOut(PrintStream(log, true))
        try {
            firstAgent.onGenerate = { it.crash() }
            entry.post("/v1/chat/completions", EntryFixture.chatBody(true, text = "private"), KEY).close()
            entry.post("/v1/chat/completions", EntryFixture.chatBody(true, text = "private") + "}", KEY).close()
            entry.post("/v1/chat/completions?key=${EntryFixture.KEY}", "{}").close()
            entry.post("/v1/chat/completions", "private", "x-api-key" to "cw_k1_private0").close()
            entry.await { "code=agent_lost" in log.toString() || "stream_ended" in log.toString() }
        } finally {
            System.setOut(console)
        }
        val text = log.toString() + entry.get("/metrics").use { it.body.string() }
        assertContains(text, "event=refused")
        assertFalse("private" in text || EntryFixture.KEY in text, text)
    }

    private fun textOf(events: List<String>) = events.mapNotNull { Regex("\"content\":\"([^\"]*)\"").find(it) }
        .joinToString("") { it.groupValues[1] }

    private companion object {
        val KEY = "Authorization" to "Bearer ${EntryFixture.KEY}"
    }
}
