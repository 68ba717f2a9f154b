package org.celerywalk.http

import org.celerywalk.error.Execution
import org.celerywalk.http.strict.EarlyServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a plain service that answers while it gets the request, and whose cut answer counts as whole. */
class EarlyServiceResponseTest {
    @Test
    fun `a response without a length that ends during the upload is no answer`() =
        EarlyServer.responses("part").getValue(false).forEach { response ->
            listOf(EarlyServer.End.RESET, EarlyServer.End.HALF_CLOSE).forEach { end ->
                assertEquals(Execution.UNKNOWN.name, answerTo(EarlyServer(response, end)), "$end: $response")
            }
        }

    @Test
    fun `a complete and framed response that comes during the upload is the answer`() =
        EarlyServer.responses("whole").getValue(true).forEach { response ->
            EarlyServer.End.entries.forEach { end ->
                assertEquals("whole", answerTo(EarlyServer(response, end)), "$end: $response")
            }
        }

    // Returns the body, or the execution state if there is no answer.
    private fun answerTo(service: EarlyServer): String = service.use { server ->
        PlainServiceClient(server.url, HttpLimits(5.seconds, 5.seconds, 1, 1)).use { client ->
            val body = ByteArray(EarlyServer.LARGE_BODY_BYTES)
            client.call(PlainServiceRequest("POST", "/swaps", emptyList(), body)).get()
                .fold({ it.execution.name }, { it.body.decodeToString() })
        }
    }
}
