package org.celerywalk.http

import org.celerywalk.http.strict.RawServer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against a call, which may be a booking, that the HTTP client repeats because its refusal asks for that. */
class RepeatedCallTest {
    @Test
    fun `a call that was refused is sent once, whatever time the refusal names`() {
        listOf("0", "00", "1", "99999999999", "-1", "soon").forEach { retryAfter ->
            val head = "HTTP/1.1 503 X\r\nRetry-After: $retryAfter\r\nContent-Length: 0\r\n\r\n"
            RawServer(head).use { server ->
                PlainServiceClient(server.url, HttpLimits(5.seconds, 5.seconds, 1, 1)).use { client ->
                    val request = PlainServiceRequest("POST", "/swaps", emptyList(), "{}".toByteArray())
                    val status = client.call(request).get().fold({ it.message }, { it.status })
                    assertEquals<Any>(503 to 1, status to server.requestCount, retryAfter)
                }
            }
        }
    }
}
