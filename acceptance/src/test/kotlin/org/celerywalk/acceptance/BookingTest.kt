package org.celerywalk.acceptance

import org.celerywalk.standins.service.ServiceFaults
import org.celerywalk.standins.table.TableFaults
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/**
 * Shares one fleet between the tests, because it takes seconds to start.
 *
 * Each test books at its own stop, and the faults are reset after each test.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BookingTest {
    private val fleet = Fleet(endpoints = 2).start()

    @AfterTest
    fun resetFaults() {
        fleet.table.faults = TableFaults()
        fleet.service.faults = ServiceFaults()
    }

    @AfterAll
    fun stop() = fleet.close()

    private fun executions(stop: String) =
        fleet.service.executions().filter { it.path.endsWith("/$stop") }.sumOf { it.count }

    @Test
    fun `a repeated booking runs once, also through another agent, and no service receives the API key`() {
        val (status, response) = fleet.caller().book("stop-7")
        assertEquals(CREATED, status)
        repeat(2) { assertEquals(response, fleet.caller().book("stop-7").second) }
        assertEquals(1, executions("stop-7"))
        assertFalse(fleet.service.requests().any { API_KEY in "$it" || API_KEY.substringAfterLast('_') in "$it" })
    }

    @Test
    fun `a booking during a table outage is refused as not run and does not reach the service`() {
        fleet.table.faults = TableFaults(outage = "refuse")
        val (_, response) = fleet.caller().book("stop-8")
        assertEquals("not_run", response.path("error").path("execution").asText(), "$response")
        assertEquals(0, executions("stop-8"))
        fleet.table.faults = TableFaults()
        waitUntil("bookings work again") { fleet.caller().book("stop-9").first == CREATED }
        assertEquals(0, executions("stop-8"))
    }

    @Test
    fun `a booking runs at most once when the response to its claim in the table is lost`() {
        fleet.table.faults = TableFaults(loseAnswers = 1)
        repeat(2) { fleet.caller().book("stop-10") }
        assertEquals(1, executions("stop-10"))
    }

    @Test
    fun `a booking whose service response is lost is reported as unknown, and its repeats do not run`() {
        fleet.service.faults = ServiceFaults(outage = "cut")
        val first = fleet.caller().book("stop-11").second
        fleet.service.faults = ServiceFaults()
        val repeated = fleet.caller().book("stop-11").second
        listOf(first, repeated).forEach { assertEquals("unknown", it.path("error").path("execution").asText(), "$it") }
        assertEquals(1, executions("stop-11"))
    }

    private companion object {
        const val CREATED = 201
    }
}
