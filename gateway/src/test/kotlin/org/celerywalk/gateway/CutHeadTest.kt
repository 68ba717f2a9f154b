package org.celerywalk.gateway

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an endpoint that stops within the head of its response and whose callers get an empty success. */
class CutHeadTest {
    private val fleet = TestFleet()

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `a head that ends anywhere, by a close or a reset, gives no success`() {
        val routes = listOf("once" to "non_idempotent", "safe" to "idempotent", "stream" to "streaming")
        val ends = cuts.flatMap { cut -> listOf(false, true).map { cut to it } }
        val scripts = ArrayDeque(routes.flatMap { ends })
        fleet.add { _, socket ->
            val (cut, isReset) = scripts.removeFirst()
            socket.getOutputStream().write(cut.toByteArray())
            if (isReset) socket.setSoLinger(true, 0)
        }
        fleet.start(*routes.map { (name, type) -> TestFleet.route(name, type) }.toTypedArray())
        routes.forEach { (route, _) ->
            ends.forEach { (cut, isReset) ->
                val status = fleet.gateway.client.newCall(fleet.request(route).build()).execute().use { it.code }
                assertEquals(502, status, "$route, reset $isReset, after '${cut.takeLast(20)}'")
            }
        }
    }

    private companion object {
        val cuts = listOf(
            "", "HTTP", "HTTP/1.1 20", "HTTP/1.1 200", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nX-Resp", "HTTP/1.1 200 OK\r\nX-Response-Signature: s",
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n",
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 12",
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 0",
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n",
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r",
        )
    }
}
