package org.celerywalk.entry

import org.celerywalk.protocol.Execution
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against requests that crash one engine after the other, since their prompt crashes each engine that begins to
 * answer it.
 */
class DeadlyPromptTest {
    private val agents = List(AGENTS) { FakeAgent("r$it") }
    private val timeSource = TestTimeSource()
    private val entry = EntryFixture(*agents.toTypedArray(), timeSource = timeSource).start()

    init {
        agents.forEach { agent -> agent.onGenerate = { answer(agent, it) } }
    }

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a request is not sent again after two crashes, and its answer says that it may have run`() {
        entry.chat(stream = true, text = DEADLY).use {
            assertEquals(502, it.code)
            assertNotNull(it.header("retry-after"))
            assertContains(it.body.string(), "\"execution\":\"unknown\"")
        }
        assertEquals(2, sentCount(DEADLY))
    }

    @Test
    fun `repeats of a prompt under which two engines crashed are refused as not run, others are served`() {
        entry.chat(stream = true, text = DEADLY).close()
        repeat(3) {
            entry.chat(stream = false, text = DEADLY).use {
                assertEquals(503, it.code)
                assertNotNull(it.header("retry-after"))
                val body = it.body.string()
                assertContains(body, "prompt_part_quarantined")
                assertContains(body, "\"execution\":\"not_run\"")
            }
            entry.chat(stream = false, text = "hello $it").use { assertEquals(200, it.code) }
        }
        assertEquals(2, sentCount(DEADLY))
    }

    @Test
    fun `prompts that share a deadly piece are refused after a third crash, those that share sound ones are served`() {
        val sound = "s".repeat(PIECE_BYTES)
        val deadly = "$sound$DEADLY${"d".repeat(PIECE_BYTES)}"
        entry.chat(stream = false, text = "$deadly one").use { assertEquals(502, it.code) }
        entry.chat(stream = false, text = "$sound hello").use { assertEquals(200, it.code) }
        // Until another prompt with the piece crashes an engine, only the first prompt may be to blame.
        entry.chat(stream = false, text = "$deadly two").use { assertEquals(502, it.code) }
        repeat(3) {
            entry.chat(stream = false, text = "$deadly more $it").use { assertEquals(503, it.code) }
            entry.chat(stream = false, text = "$sound hello $it").use { assertEquals(200, it.code) }
        }
        assertEquals(3, sentCount(DEADLY))
    }

    @Test
    fun `after the backoff a request is tried, and an answer ends the quarantine`() {
        entry.chat(stream = false, text = DEADLY).close()
        timeSource += MIN_BACKOFF
        agents.forEach { agent -> agent.onGenerate = { it.sendRefused(Execution.NOT_RUN) } }
        entry.chat(stream = false, text = DEADLY).use { assertContains(it.body.string(), "\"code\":\"full\"") }
        agents.forEach { agent -> agent.onGenerate = { it.sendAnswer("one") } }
        repeat(2) { entry.chat(stream = false, text = DEADLY).use { assertEquals(200, it.code) } }
    }

    @Test
    fun `a trial under which an engine crashes lengthens the backoff`() {
        entry.chat(stream = false, text = DEADLY).close()
        timeSource += MIN_BACKOFF
        entry.chat(stream = false, text = DEADLY).use { assertEquals(502, it.code) }
        timeSource += MIN_BACKOFF
        entry.chat(stream = false, text = DEADLY).use { assertEquals(503, it.code) }
        assertEquals(3, sentCount(DEADLY))
    }

    @Test
    fun `lost calls and failures of engines that go on to serve quarantine no prompt`() {
        listOf(LOST, CUT).forEach { text ->
            repeat(2) { entry.chat(stream = true, text = text).use { assertEquals(502, it.code) } }
            assertEquals(2 * MAX_ATTEMPTS, sentCount(text))
        }
    }

    private fun answer(agent: FakeAgent, stream: FakeStream) {
        val prompt = stream.request.prompt
        when {
            DEADLY in prompt -> agent.crashEngine(stream)
            CUT in prompt -> stream.sendRefused(Execution.UNKNOWN, code = "engine_failed")
            LOST in prompt -> stream.crash()
            else -> stream.sendAnswer("one", " two")
        }
    }

    private fun sentCount(text: String) = agents.sumOf { agent -> agent.requests.count { text in it.prompt } }

    private companion object {
        const val AGENTS = 6
        const val MAX_ATTEMPTS = 4
        val MIN_BACKOFF = 5.seconds
        const val DEADLY = "deadly"
        const val CUT = "cut stream"
        const val LOST = "lost call"

        // The model of the fixture has pieces of 4,000 tokens.
        const val PIECE_BYTES = 16_000
    }
}
