package org.celerywalk.gateway

import org.celerywalk.http.strict.EarlyServer
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against an endpoint that answers while it gets the request, and whose callers take a part for the whole. */
class EarlyEndpointResponseTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a response without a length that ends during the upload never looks complete`() {
        val responses = EarlyServer.responses("data: part\n\n", SIGNATURE).getValue(false)
        val servers = responses.flatMap { response -> CUT_ENDS.map { EarlyServer(response, it) } }
        val received = callEach(servers, listOf("once" to "non_idempotent", "stream" to "streaming"))
        received.forEach { (case, response) ->
            assertFalse(response.isSuccess && response.isComplete, "$case: ${response.text}")
        }
    }

    @Test
    fun `a complete and framed response that comes during the upload is passed on`() {
        val responses = EarlyServer.responses("whole", SIGNATURE).getValue(true)
        val servers = responses.flatMap { response -> EarlyServer.End.entries.map { EarlyServer(response, it) } }
        callEach(servers, listOf("once" to "non_idempotent")).forEach { (case, response) ->
            assertEquals(true to "whole", response.isSuccess to response.text.substringAfter("\r\n\r\n"), case)
        }
    }

    // Calls each of [servers] on each of [routes], with a body that has a length and with one in chunks.
    private fun callEach(
        servers: List<EarlyServer>,
        routes: List<Pair<String, String>>,
    ): List<Pair<String, ReceivedResponse>> {
        val cases = servers.indices.flatMap { index ->
            routes.map { (name, type) -> Triple(index, "$name-$index", type) }
        }
        servers.forEachIndexed { index, server ->
            val entry = """{"backend":"s-$index","address":"${server.address}","zone":"dc","slots":4,"state":"ready"}"""
            fleet.store.put("servers", "i-$index", entry)
        }
        fleet.start(
            *cases.map { (index, name, type) -> TestFleet.route(name, type, service = "s-$index") }.toTypedArray(),
        )
        return cases.flatMap { (_, name, _) ->
            listOf(true, false).map { hasLength -> "$name, length: $hasLength" to call(name, hasLength) }
        }.also { servers.forEach { it.close() } }
    }

    private fun call(route: String, hasLength: Boolean): ReceivedResponse =
        Socket("127.0.0.1", fleet.gateway.port).use { caller ->
            caller.soTimeout = MAX_SILENCE_MILLIS
            val framing = if (hasLength) "Content-Length: ${BODY.size}" else "Transfer-Encoding: chunked"
            val head = "POST /$route/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: u\r\nConnection: close\r\n"
            val output = caller.getOutputStream()
            val upload = thread(isDaemon = true) {
                output.write("$head$framing\r\n\r\n".toByteArray())
                if (!hasLength) output.write("${BODY.size.toString(radix = 16)}\r\n".toByteArray())
                output.write(BODY)
                if (!hasLength) output.write("\r\n0\r\n\r\n".toByteArray())
            }
            ReceivedResponse.read(caller).also { upload.join() }
        }

    private companion object {
        const val SIGNATURE = "X-Response-Signature: s\r\n"
        const val MAX_SILENCE_MILLIS = 8_000
        val BODY = ByteArray(EarlyServer.LARGE_BODY_BYTES)
        val CUT_ENDS = listOf(EarlyServer.End.RESET, EarlyServer.End.HALF_CLOSE)
    }
}
