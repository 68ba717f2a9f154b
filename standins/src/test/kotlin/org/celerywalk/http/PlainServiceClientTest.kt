package org.celerywalk.http

import org.celerywalk.error.Execution
import org.celerywalk.limits
import org.celerywalk.shortTimeoutLimits
import org.celerywalk.standins.service.PlainServiceStandIn
import org.celerywalk.standins.service.ServiceFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class PlainServiceClientTest {
    private val standIn = PlainServiceStandIn()
    private val request = PlainServiceRequest(
        "POST",
        "/swaps",
        listOf("Idempotency-Key" to "stop-7", "Content-Type" to "application/json"),
        """{"bucket":"peony"}""".toByteArray(),
    )

    @AfterTest
    fun stop() {
        standIn.close()
    }

    private fun executions() = standIn.executions().map { it.idempotencyKey to it.count }

    @Test
    fun `a response is returned with its status and body`() {
        val response = PlainServiceClient(standIn.url, limits).use { it.call(request).get().getOrNull() }
        assertEquals(201, response?.status)
        assertEquals("""{"confirmation":"service-1","executions":1}""", response?.body?.decodeToString())
        assertEquals(listOf("stop-7" to 1), executions())
    }

    @Test
    fun `a connection closed after the execution is reported as unknown, and the call is not repeated`() {
        standIn.faults = ServiceFaults(outage = "cut")
        val error = PlainServiceClient(standIn.url, limits).use { it.call(request).get().leftOrNull() }
        assertEquals(Execution.UNKNOWN, error?.execution)
        assertEquals(listOf("stop-7" to 1), executions())
    }

    @Test
    fun `a call that times out is reported as unknown and not repeated`() {
        standIn.faults = ServiceFaults(outage = "hang")
        val error = PlainServiceClient(standIn.url, shortTimeoutLimits).use { it.call(request).get().leftOrNull() }
        assertEquals(Execution.UNKNOWN, error?.execution)
        assertEquals(listOf("stop-7" to 1), executions())
    }

    @Test
    fun `a refused connection is reported as not run`() {
        standIn.close()
        val error = PlainServiceClient(standIn.url, limits).use { it.call(request).get().leftOrNull() }
        assertEquals(Execution.NOT_RUN, error?.execution)
        assertEquals(standIn.url, error?.peer)
    }
}
