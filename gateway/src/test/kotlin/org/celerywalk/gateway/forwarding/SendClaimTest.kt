package org.celerywalk.gateway.forwarding

import okhttp3.OkHttpClient
import okhttp3.Request
import org.celerywalk.gateway.awaitUntil
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a stream that is cut though it has just changed so that it can't go on elsewhere. */
class SendClaimTest {
    private val call = OkHttpClient().newCall(Request.Builder().url("http://127.0.0.1:1/").build())
    private val claim = SendClaim(call)

    @Test
    fun `bytes that arrive while a cancellation is decided are not relayed after it`() {
        val relayed = CompletableFuture<Boolean>()
        val isCancelled = claim.tryCancel(AttemptOutcome.Relocated) {
            val arrival = thread { relayed.complete(claim.tryRelay {}) }
            awaitUntil { arrival.state == Thread.State.WAITING }
            true
        }
        assertTrue(isCancelled && call.isCanceled())
        assertFalse(relayed.get(30, TimeUnit.SECONDS))
        assertEquals(AttemptOutcome.Relocated, claim.explain(AttemptOutcome.ResponseLost("Canceled")))
    }

    @Test
    fun `a call is not cancelled while its response is relayed, and may be afterwards`() {
        claim.tryRelay { assertFalse(tryCancelOnOtherThread()) }
        assertFalse(call.isCanceled())
        assertTrue(tryCancelOnOtherThread() && call.isCanceled())
    }

    @Test
    fun `a call is cancelled only if that is allowed, and for one reason`() {
        assertFalse(claim.tryCancel(AttemptOutcome.Relocated) { false } || call.isCanceled())
        assertTrue(claim.tryRelay {})
        assertTrue(claim.tryCancel(AttemptOutcome.Relocated) { true })
        assertFalse(claim.tryCancel(AttemptOutcome.Stalled("silent")) { true })
        assertEquals(AttemptOutcome.Relocated, claim.explain(AttemptOutcome.ResponseLost("Canceled")))
    }

    private fun tryCancelOnOtherThread(): Boolean =
        CompletableFuture.supplyAsync { claim.tryCancel(AttemptOutcome.Relocated) { true } }.get(30, TimeUnit.SECONDS)
}
