package org.celerywalk.entry

import org.celerywalk.protocol.BarReply
import org.celerywalk.protocol.Execution
import org.celerywalk.protocol.ServiceReply
import org.celerywalk.table.FakeTableFault
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ServiceTest {
    private val agents = listOf(FakeAgent("r0"), FakeAgent("r1"))
    private val entry = EntryFixture(*agents.toTypedArray()).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a booking needs exactly one idempotency key and an open service needs no key`() {
        entry.post("/services/swaps", "{}", KEY).use {
            assertEquals(400, it.code)
            assertContains(it.body.string(), "idempotency_key_required")
        }
        entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY, IDEMPOTENCY_KEY).use { assertEquals(400, it.code) }
        entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY).use { assertEquals("done", it.body.string()) }
        entry.get("/services/hours").use { assertEquals(200, it.code) }
        entry.get("/services/stock").use { assertEquals(401, it.code) }
    }

    @Test
    fun `a booking whose call was lost is retried only after its attempt was barred`() {
        // Guards against two executions of a booking whose first attempt may still run.
        var callCount = 0
        agents.forEach { agent ->
            agent.onServiceCall = { if (callCount++ == 0) null else FakeAgent.okReply(it, "done") }
        }
        entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY).use { assertEquals("done", it.body.string()) }
        val requests = agents.flatMap { it.serviceRequests }
        assertEquals(2, requests.map { it.attemptId }.distinct().size)
        assertEquals(listOf("b-1", "b-1"), requests.map { it.idempotencyKey })
    }

    @Test
    fun `a lost booking that cannot be barred is unknown and not retried`() {
        agents.forEach { agent ->
            agent.onServiceCall = { null }
            agent.onBar = { BarReply.newBuilder().setExecution(Execution.UNKNOWN).build() }
        }
        entry.table.fault = { FakeTableFault.ANSWER_LOST }
        entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY).use {
            assertEquals(502, it.code)
            assertContains(it.body.string(), "\"execution\":\"unknown\"")
        }
        assertEquals(1, agents.sumOf { it.serviceRequests.size })
    }

    @Test
    fun `a lost booking is barred in the table when its agent does not reply`() {
        agents.forEach { agent ->
            agent.onServiceCall = { null }
            agent.onBar = { null }
        }
        entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY).use {
            assertEquals(503, it.code)
            assertContains(it.body.string(), "\"execution\":\"not_run\"")
        }
        assertNotNull(entry.table.record("booking/kyushu/swaps/b-1"))
    }

    @Test
    fun `a refused repeatable call is retried at another endpoint`() {
        var callCount = 0
        agents.forEach { agent ->
            agent.onServiceCall = {
                val refusal = ServiceReply.newBuilder().setExecution(Execution.NOT_RUN).setCode("leaving").build()
                if (callCount++ == 0) refusal else FakeAgent.okReply(it, "in stock")
            }
        }
        entry.get("/services/stock/12?size=s", KEY).use { assertEquals("in stock", it.body.string()) }
        assertEquals("/services/stock/12?size=s", agents.flatMap { it.serviceRequests }.last().path)
    }

    @Test
    fun `an answer without content is passed on without a length`() {
        agents.forEach { agent ->
            agent.onServiceCall = { FakeAgent.okReply(it, "").toBuilder().setStatus(204).build() }
        }
        entry.get("/services/stock", KEY).use {
            assertEquals(204, it.code)
            assertNull(it.header("content-length"))
        }
    }

    // Guards against a caller that gets a status which HTTP does not have, or an interim one, as the final response.
    @Test
    fun `an agent's reply with a status that no final response has counts as lost`() {
        listOf(-1, 0, 1, 99, 100, 101, 103, 199, 600, 999, 1_000).forEach { status ->
            agents.forEach { agent ->
                agent.onServiceCall = { FakeAgent.okReply(it, "done").toBuilder().setStatus(status).build() }
            }
            entry.post("/services/swaps", "{}", KEY, IDEMPOTENCY_KEY).use { assertEquals(502, it.code, "$status") }
        }
    }

    private companion object {
        val KEY = "Authorization" to "Bearer ${EntryFixture.KEY}"
        val IDEMPOTENCY_KEY = "Idempotency-Key" to "b-1"
    }
}
