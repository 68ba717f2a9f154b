package org.celerywalk.entry

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a response that breaks off and reaches its caller as if it were complete. */
class CutResponseTest {
    private val agent = FakeAgent("r0")
    private val entry = EntryFixture(agent, stopTimeout = 100.milliseconds).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a service answer that a stop of the entry cuts is not framed as complete`() {
        agent.onServiceCall = { FakeAgent.okReply(it, "y".repeat(ANSWER_BYTES)) }
        val callers = callAll { post("/services/swaps", "{}", it) }
        callers.values.forEach { caller -> entry.await { caller.availableBytes > 0 } }
        entry.daemon.stop()
        callers.forEach { (protocol, caller) ->
            val response = caller.use { it.readToEnd() }
            assertTrue(response.body.count { it == 'y' } < ANSWER_BYTES, "the answer was not cut for $protocol")
            assertFalse(response.isComplete, "framed as complete for $protocol: ${response.text.take(HEAD_CHARS)}")
        }
    }

    @Test
    fun `a stream that a stop of the entry cuts is not framed as complete`() {
        agent.onGenerate = {
            it.sendStarted()
            it.sendToken("one")
        }
        val callers = callAll { post(CHAT_PATH, EntryFixture.chatBody(stream = true), it) }
        callers.values.forEach { caller -> entry.await { caller.availableBytes > 0 } }
        entry.daemon.stop()
        callers.forEach { (protocol, caller) ->
            val response = caller.use { it.readToEnd() }
            assertFalse(response.isComplete, "framed as complete for $protocol: ${response.text}")
        }
    }

    @Test
    fun `a complete stream is framed as complete`() {
        agent.onGenerate = { it.sendAnswer("one", "x".repeat(LARGE_BYTES)) }
        callAll { post(CHAT_PATH, EntryFixture.chatBody(stream = true), it) }.forEach { (protocol, caller) ->
            val response = caller.use { it.readToEnd() }
            assertTrue(response.isComplete, "not framed as complete for $protocol: ${response.text}")
            assertContains(response.text, "data: [DONE]\n\n")
        }
    }

    @Test
    fun `responses of known length declare it`() {
        agent.onServiceCall = { FakeAgent.okReply(it, "y".repeat(LARGE_BYTES)) }
        agent.onGenerate = { it.sendAnswer("one", "x".repeat(LARGE_BYTES)) }
        val calls = listOf<RawCaller.(String) -> Unit>(
            { post("/services/swaps", "{}", it) },
            { post(CHAT_PATH, EntryFixture.chatBody(stream = false), it) },
            { get("/metrics", it) },
        )
        calls.forEach { call ->
            val response = RawCaller(entry.daemon.httpPort).use {
                it.call("HTTP/1.1\r\nHost: e\r\nConnection: close")
                it.readToEnd()
            }
            assertTrue("content-length: ${response.body.length}\r\n" in response.text.lowercase(), response.text)
        }
    }

    private fun callAll(call: RawCaller.(String) -> Unit): Map<String, RawCaller> =
        RawCaller.PROTOCOLS.associateWith { protocol ->
            RawCaller(entry.daemon.httpPort).also { it.call(protocol) }
        }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"

        // More than the buffers of a connection hold.
        const val ANSWER_BYTES = 3_900_000

        // More than the server's output buffer holds.
        const val LARGE_BYTES = 20_000
        const val HEAD_CHARS = 200
    }
}
