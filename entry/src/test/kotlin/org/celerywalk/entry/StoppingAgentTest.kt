package org.celerywalk.entry

import org.celerywalk.protocol.Execution
import org.celerywalk.protocol.ServiceReply
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against new work for agents that have said that they stop, while other agents are free. */
class StoppingAgentTest {
    private val agents = List(AGENTS) { FakeAgent("r$it") }
    private val entry = EntryFixture(*agents.toTypedArray()).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `an agent that says in any answer that it stops gets no further work`() {
        val answers = mapOf<String, (FakeStream) -> Unit>(
            "complete" to { it.sendAnswer("one") },
            "refused" to { it.sendRefused(Execution.NOT_RUN, code = "leaving") },
            "lost after its first event" to {
                it.sendStarted()
                it.crash()
            },
        )
        answers.entries.zip(agents).forEach { (answer, agent) ->
            agent.onGenerate = answer.value
            agent.isStopping = true
            sendUntilUsed(agent)
            val countsAtNotice = agent.requests.size to agent.serviceRequests.size
            repeat(REQUESTS) {
                chat("later $it")
                entry.get("/services/hours").use { response -> assertEquals(200, response.code) }
            }
            assertEquals(countsAtNotice, agent.requests.size to agent.serviceRequests.size, answer.key)
        }
    }

    @Test
    fun `a service is called at a free agent however many others say that they stop`() {
        val stopping = agents.dropLast(1)
        stopping.forEach { agent ->
            agent.onServiceCall = { refuse(it.attemptId) }
            agent.isStopping = true
        }
        repeat(stopping.size * REQUESTS) { entry.get("/services/hours").close() }
        val counts = stopping.map { it.serviceRequests.size }
        repeat(REQUESTS) { entry.get("/services/hours").use { response -> assertEquals(200, response.code) } }
        assertEquals(counts, stopping.map { it.serviceRequests.size })
    }

    private fun sendUntilUsed(agent: FakeAgent) {
        val countBefore = agent.requests.size
        generateSequence(0) { it + 1 }.takeWhile { agent.requests.size == countBefore }.forEach { chat("prompt $it") }
    }

    private fun chat(text: String) =
        entry.chat(stream = false, text = text).use { response -> assertEquals(200, response.code) }

    private fun refuse(attemptId: String) = ServiceReply.newBuilder()
        .setAttemptId(attemptId)
        .setExecution(Execution.NOT_RUN)
        .setCode("leaving")
        .build()

    private companion object {
        const val AGENTS = 6
        const val REQUESTS = 20
    }
}
