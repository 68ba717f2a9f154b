package org.celerywalk.gateway.forwarding

import okhttp3.OkHttpClient
import okhttp3.Request
import org.celerywalk.gateway.awaitUntil
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Guards against a complete response whose connection is closed because the deadline expired as it began (LOST). */
class StartDeadlineTest {
    private val timers = Executors.newSingleThreadScheduledExecutor()
    private val call = OkHttpClient().newCall(Request.Builder().url("http://127.0.0.1:1/").build())
    private val claim = SendClaim(call)

    @AfterEach
    fun close() {
        timers.shutdown()
    }

    @Test
    fun `a response that was relayed completely stays complete after the deadline`() {
        awaitExpiry()
        assertEquals(AttemptOutcome.Completed, claim.explain(AttemptOutcome.Completed))
        val lost = claim.explain(AttemptOutcome.ResponseLost("Canceled"))
        assertTrue("not started" in assertIs<AttemptOutcome.NotStarted>(lost).reason, lost.toString())
    }

    // Guards against a refusal that counts as an execution, after which the request may not be sent again.
    @Test
    fun `a refusal and a failure that the endpoint has sent are kept after the deadline`() {
        awaitExpiry()
        val refusal = AttemptOutcome.NotExecuted("status_421", wasSent = true)
        val failure = AttemptOutcome.ServerError(BufferedResponse(500, emptyList(), ByteArray(0)))
        listOf(refusal, failure).forEach { assertEquals(it, claim.explain(it)) }
    }

    // Guards against a stream that is cut while its first event is on the way to the caller.
    @Test
    fun `a call whose response has begun is not cancelled at the deadline`() {
        claim.tryRelay {
            val deadline = StartDeadline(timers, claim, Duration.ZERO)
            // The only thread of the timers takes the deadline first.
            timers.schedule({}, 1, TimeUnit.MILLISECONDS).get(30, TimeUnit.SECONDS)
            deadline.close()
        }
        timers.schedule({}, 1, TimeUnit.MILLISECONDS).get(30, TimeUnit.SECONDS)
        assertFalse(call.isCanceled())
    }

    private fun awaitExpiry() {
        StartDeadline(timers, claim, Duration.ZERO)
        awaitUntil { call.isCanceled() }
    }
}
