package org.celerywalk.http

import org.celerywalk.error.Execution
import org.celerywalk.http.strict.MalformedResponses
import org.celerywalk.http.strict.RawServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a plain service whose bytes are no HTTP response and count as the answer of its call. */
class MalformedServiceResponseTest {
    @Test
    fun `a malformed response is no answer`() =
        MalformedResponses.all("{}").forEach { assertEquals(Execution.UNKNOWN.name, answerTo(it), it) }

    @Test
    fun `an interim response without a final one is no answer`() =
        MalformedResponses.interimOnly().forEach { assertEquals(Execution.UNKNOWN.name, answerTo(it), it) }

    @Test
    fun `an unusual but sound response is the answer`() =
        MalformedResponses.sound("{}").forEach { assertEquals("{}", answerTo(it), it) }

    // Returns the body, or the execution state if there is no answer.
    private fun answerTo(response: String): String = RawServer(response).use { server ->
        PlainServiceClient(server.url, HttpLimits(5.seconds, 5.seconds, 1, 1)).use { client ->
            val request = PlainServiceRequest("POST", "/swaps", emptyList(), "{}".toByteArray())
            client.call(request).get().fold({ it.execution.name }, { it.body.decodeToString() })
        }
    }
}
