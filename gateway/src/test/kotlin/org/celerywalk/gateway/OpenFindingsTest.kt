package org.celerywalk.gateway

import org.celerywalk.quarantine.PromptPartQuarantine
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.TestTimeSource

/** Guards against a stream with repeated events, and against evidence that is too large to be sent. */
class OpenFindingsTest {
    private val store = StoreStandIn()
    private val gateway = TestGateway(store)
    private val endpoints = mutableListOf<EndpointStandIn>()

    @AfterEach
    fun close() {
        store.close()
        endpoints.forEach { it.close() }
    }

    @Test
    fun `a stream whose events have no id is not begun again within one response`() {
        start { _, _ ->
            val events = (1..2).joinToString("") { "data: $it\n\n" }
            val isFirst = endpoints.sumOf { it.receivedRequests.size } == 1
            val end = if (isFirst) "" else "0\r\n\r\n"
            "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "${events.length.toString(16)}\r\n$events\r\n$end"
        }
        val received = call("resume", "POST")
        assertEquals(1, Regex("data: 1\n").findAll(received.text).count(), "$received")
    }

    @Test
    fun `evidence about parts with long names fits into one message`() {
        val quarantine = PromptPartQuarantine(TestTimeSource())
        (1..16).forEach { start ->
            (1..48).forEach { quarantine.recordCrash("i-$start/1796464840696", listOf("0".repeat(9_000) + it)) }
        }
        val size = PeerStateCodec.encode(PeerState("g", 1, suspectParts = quarantine.evidence())).size
        assertEquals(true, size <= 60_000, "$size bytes")
    }

    private fun start(response: (Int, ReceivedRequest) -> String) {
        store.put("op", "config", CONFIGURATION)
        repeat(2) { index ->
            val standIn = EndpointStandIn { request, socket ->
                socket.getOutputStream().write(response(index, request).toByteArray())
            }.also { endpoints += it }
            val text = """{"backend":"s","address":"${standIn.address}","zone":"dc","slots":64,"state":"ready"}"""
            store.put("servers", "i-$index", text)
        }
        gateway.start()
    }

    private fun request(route: String, method: String, version: String, path: String) =
        "$method /$route/$path $version\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 4000\r\n" +
            if (method == "POST") "Content-Length: 1\r\n\r\np" else "\r\n"

    private fun call(route: String, method: String, version: String = "HTTP/1.1"): ReceivedResponse =
        Socket("127.0.0.1", gateway.port).use { socket ->
            socket.soTimeout = 500
            socket.getOutputStream().write(request(route, method, version, "x").toByteArray())
            ReceivedResponse.read(socket)
        }

    private companion object {
        const val CONFIGURATION = """{"version":1,"services":[{"name":"s"}],"routes":[
            {"name":"once","hostname":"127.0.0.1","prefix":"/once/","backend":"s","timeout_ms":5000,
             "type":"idempotent","max_attempts":1},
            {"name":"stream","hostname":"127.0.0.1","prefix":"/stream/","backend":"s","timeout_ms":5000,
             "type":"streaming","max_attempts":1},
            {"name":"resume","hostname":"127.0.0.1","prefix":"/resume/","backend":"s","timeout_ms":5000,
             "type":"streaming","resumable":true,"max_attempts":3}]}"""
    }
}
