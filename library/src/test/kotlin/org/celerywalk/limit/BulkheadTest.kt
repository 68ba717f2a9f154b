package org.celerywalk.limit

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against an unbounded number of calls that wait for a slow dependency. */
class BulkheadTest {
    private val time = TestTimeSource()

    @Test
    fun `the number of waiting calls never exceeds the bound and permits are released`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 71, iterations = 200), Arb.list(Arb.int(0..9), 1..200)) { steps ->
                val calls = Bulkhead(3, CircuitBreaker(time, failuresToOpen = 5, openDuration = 1.seconds))
                val waiting = ArrayList<CompletableFuture<Boolean>>()
                steps.forEach { step ->
                    time += 300.milliseconds
                    when {
                        step < 5 -> calls.call({ it }) { CompletableFuture<Boolean>().also { waiting += it } }
                        waiting.isNotEmpty() -> waiting.removeFirst().complete(step < 8)
                    }
                    assertTrue(waiting.size <= 3, "${waiting.size} calls wait")
                }
                waiting.toList().forEach { it.complete(true) }
                time += 1.seconds // Otherwise an open circuit breaker could refuse the call.
                assertNotNull(calls.call({ true }) { CompletableFuture.completedFuture(true) })
            }
        }
    }

    @Test
    fun `the circuit breaker opens after consecutive timeouts and later allows one probe call`() {
        val calls = Bulkhead(9, CircuitBreaker(time, failuresToOpen = 2, openDuration = 1.seconds))
        val timeout = { CompletableFuture.completedFuture("timeout") }
        repeat(2) { assertNotNull(calls.call({ it != "timeout" }, timeout)) }
        assertNull(calls.call({ it != "timeout" }, timeout))
        time += 1.seconds
        val probe = CompletableFuture<String>()
        assertNotNull(calls.call({ it != "timeout" }) { probe })
        assertNull(calls.call({ it != "timeout" }, timeout), "only one probe call is allowed at a time")
        probe.complete("refused")
        assertEquals("refused", calls.call({ it != "timeout" }) { probe }?.join())
    }
}
