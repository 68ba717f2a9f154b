package org.celerywalk.entry

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against errors that end a thread or leave a request open, whatever their type. */
class UnexpectedErrorTest {
    private val agent = FakeAgent("r0")
    private val entry = EntryFixture(agent).start()

    @AfterEach
    fun close() = entry.close()

    @Test
    fun `a request that meets any error is answered and the process goes on`() {
        val errors = listOf(IllegalStateException("odd"), StackOverflowError(), OutOfMemoryError("simulated"))
        errors.forEach { error ->
            entry.confirmationError = error
            entry.chat(stream = false).use { response ->
                assertEquals(500, response.code, "$error")
                assertContains(response.body.string(), "\"code\":\"internal_error\"", message = "$error")
            }
            entry.confirmationError = null
            entry.chat(stream = false).use { assertEquals(200, it.code, "$error") }
            entry.awaitOpenRequests(0)
        }
    }

    @Test
    fun `an error in a periodic check does not end the checks`() {
        agent.onGenerate = {
            it.sendStarted()
            it.sendToken("one")
        }
        RawCaller(entry.daemon.httpPort).use { caller ->
            caller.post("/v1/chat/completions", EntryFixture.chatBody(stream = true), "HTTP/1.1\r\nHost: e")
            entry.await { caller.availableBytes > 0 }
            entry.failedWithdrawalChecks.set(3)
            entry.await { entry.failedWithdrawalChecks.get() <= 0 }
            entry.withdrawnKeyIds = setOf("k1")
            assertContains(caller.readToEnd().text, "\"type\":\"authentication_error\"")
        }
    }
}
