package org.celerywalk.entry

import org.celerywalk.protocol.Execution
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Pattern: one client account fills its queues; its further requests don't knock where they were told to wait. */
class FullQueueTest {
    private val agents = List(2) { FakeAgent("r$it") }
    private val entry = EntryFixture(*agents.toTypedArray()).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a replica whose queue is full gets no further request of the account until its retry time`() {
        agents.first().onGenerate = { it.sendRefused(Execution.NOT_RUN, code = "queue_full") }
        repeat(REQUESTS) { count ->
            entry.chat(stream = false, text = "prompt $count").use { assertEquals(200, it.code) }
        }
        assertEquals(listOf(1, REQUESTS), agents.map { it.requests.size })
    }

    @Test
    fun `a smaller request is still tried while all queues are full for a larger one`() {
        agents.forEach { agent ->
            agent.onGenerate = {
                if (it.request.prompt.length > SMALL_PROMPT_CHARS) {
                    it.sendRefused(Execution.NOT_RUN, code = "queue_full")
                } else {
                    it.sendAnswer("one")
                }
            }
        }
        entry.chat(stream = false, text = "x".repeat(2 * SMALL_PROMPT_CHARS)).use { response ->
            assertEquals(503 to "2", response.code to response.header("retry-after"))
            assertContains(response.body.string(), "\"execution\":\"not_run\"")
        }
        entry.chat(stream = false).use { assertEquals(200, it.code) }
    }

    private companion object {
        const val REQUESTS = 10
        const val SMALL_PROMPT_CHARS = 200
    }
}
