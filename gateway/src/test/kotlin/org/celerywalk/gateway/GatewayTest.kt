package org.celerywalk.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Drives a whole gateway against stand-ins of the store and of endpoints that fail in the ways that cost most. */
class GatewayTest {
    private val store = StoreStandIn()
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()
    private val endpoints = mutableListOf<EndpointStandIn>()

    // The endpoint with the most slots is preferred among idle ones.
    private var slotsOfFirst = 4
    private val ports = List(4) { ServerSocket(0).use { it.localPort } }

    @AfterEach
    fun close() {
        store.close()
        endpoints.forEach { it.close() }
    }

    @Test
    fun `a request passes unchanged, without its key and with the account of the key`() {
        val endpoint = endpoint(EndpointStandIn.answer(200, "fine", "X-Response-Signature: sig"))
        start()
        val response = call("/once/a%2Fb?q=1", body = "hello", "X-Tenant" to "other", "X-Hold" to "h")
        assertEquals("fine" to "sig", response.body.string() to response.header("X-Response-Signature"))
        val arrived = endpoint.arrived.single()
        assertEquals("POST /once/a%2Fb?q=1 HTTP/1.1", arrived.line)
        assertEquals("hello", arrived.body)
        assertEquals("acme", arrived.fields["x-tenant"])
        assertEquals("i-0", arrived.fields["x-expect-instance"])
        listOf("authorization", "x-hold").forEach { assertNull(arrived.fields[it], it) }
    }

    @Test
    fun `a lost answer of a request that may run once is no refusal and is not sent again`() {
        val endpoints = List(2) { endpoint { _, socket -> socket.close() } }
        start()
        assertEquals(502, call("/once/x", body = "swap").code)
        assertEquals(1, endpoints.sumOf { it.arrived.size })
    }

    @Test
    fun `a caller that connects before the process has loaded is answered`() {
        endpoint(EndpointStandIn.answer(200, "fine", "X-Response-Signature: sig"))
        val socket = CallersSocket.open(SocketAddress("127.0.0.1", ports[0]))
        val early = CompletableFuture.supplyAsync { status("/once/x", body = "swap") }
        launch(socket)
        assertEquals(200, early.get(30, TimeUnit.SECONDS))
    }

    @Test
    fun `an endpoint whose address has passed to another start gets no further work`() {
        val replaced = endpoint(EndpointStandIn.answer(421, ""))
        endpoint(EndpointStandIn.answer(200, "fine", "X-Response-Signature: sig"))
        slotsOfFirst = 64
        start()
        repeat(10) { assertEquals(200, status("/safe/x")) }
        assertEquals(1, replaced.arrived.size)
    }

    @Test
    fun `a request that an endpoint has not run goes to another one`() {
        endpoint(EndpointStandIn.answer(503, "", "X-Not-Executed: 1"))
        endpoint(EndpointStandIn.answer(200, "done"))
        start()
        repeat(6) { assertEquals("done", call("/once/x", body = "swap").body.string()) }
    }

    @Test
    fun `a caller's connection serves many requests`() {
        endpoint(EndpointStandIn.answer(200, "done"))
        start()
        repeat(20) { call("/once/x", body = "swap").body.string() }
        assertEquals(1, client.connectionPool.connectionCount() - 1, "besides that of the readiness check")
    }

    @Test
    fun `an error of an idempotent request is tried elsewhere and otherwise passed on`() {
        endpoint(EndpointStandIn.answer(500, "broken", "X-Response-Signature: e"))
        start()
        val response = call("/safe/x")
        assertEquals(500 to "e", response.code to response.header("X-Response-Signature"))
        endpoint(EndpointStandIn.answer(200, "done"))
        register()
        await { call("/safe/x").code == 200 }
    }

    @Test
    fun `a stream that breaks off does not look whole`() {
        endpoint(EndpointStandIn.stream("id: 1\ndata: a\n\n", whole = false))
        start()
        val response = call("/stream/x", body = "p")
        assertFailsWith<IOException> { response.body.string() }
    }

    @Test
    fun `a resumable stream goes on after its last whole event`() {
        val broken = EndpointStandIn.stream("id: 1\ndata: a\n\nid: 2\nda", whole = false)
        val rest = EndpointStandIn.stream("id: 2\ndata: b\n\n", whole = true)
        repeat(2) {
            endpoint { request, socket ->
                (if (request.fields["last-event-id"] == "1") rest else broken)(request, socket)
            }
        }
        start()
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", call("/resume/x", body = "p").body.string())
        assertEquals(listOf(1, 1), endpoints.map { it.arrived.size })
    }

    @Test
    fun `new weights - a resumable stream leaves the replica that another gateway gave the order to`() {
        val begun = EndpointStandIn.stream("id: 1\ndata: a\n\n", whole = false)
        val rest = EndpointStandIn.stream("id: 2\ndata: b\n\n", whole = true)
        repeat(2) {
            endpoint { request, socket ->
                val resumed = request.fields["last-event-id"] == "1"
                (if (resumed) rest else begun)(request, socket)
                // The replica would go on until the connection is closed.
                if (!resumed) runCatching { socket.getInputStream().read() }
            }
        }
        start()
        // Shorter than the silence after which a gateway gives a stream up by itself.
        val impatient = client.newBuilder().readTimeout(2, TimeUnit.SECONDS).build()
        val response = impatient.newCall(request("/resume/x", body = "p")).execute()
        assertEquals("id: 1", response.body.source().readUtf8Line())
        val first = endpoints.indexOfFirst { it.arrived.isNotEmpty() }
        tellAsPeer("""{"name":"peer","number":1,"changing":["i-$first"]}""")
        assertEquals("data: a\n\nid: 2\ndata: b\n\n", response.body.string())
        assertEquals(listOf(1, 1), endpoints.map { it.arrived.size })
    }

    @Test
    fun `dark endpoint - a gateway takes over what two others have found`() {
        endpoint(EndpointStandIn.answer(200, "first", "X-Response-Signature: sig"))
        endpoint(EndpointStandIn.answer(200, "second", "X-Response-Signature: sig"))
        slotsOfFirst = 64
        start()
        repeat(2) { tellAsPeer("""{"name":"peer-$it","number":1,"ejected":["i-0"]}""") }
        // Both messages arrive within a few milliseconds; an answer before that would count for the endpoint.
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(300))
        assertEquals("second", call("/safe/x").use { it.body.string() })
    }

    @Test
    fun `dark endpoint - a report that is repeated counts once`() {
        endpoint(EndpointStandIn.answer(200, "first", "X-Response-Signature: sig"))
        endpoint(EndpointStandIn.answer(200, "second", "X-Response-Signature: sig"))
        slotsOfFirst = 64
        start()
        repeat(10) { tellAsPeer("""{"name":"peer","number":$it,"ejected":["i-0"]}""") }
        repeat(5) { assertEquals("first", call("/safe/x").use { it.body.string() }) }
    }

    @Test
    fun `work stops when its caller leaves`() {
        val endpoint = endpoint { _, socket ->
            // The end of the connection shows as the end of its input.
            val read = runCatching { socket.getInputStream().read() }.getOrDefault(-1)
            if (read < 0) endpoints.first().abandoned.countDown()
        }
        start()
        val call = client.newCall(request("/once/x", "swap"))
        Thread { runCatching { call.execute() } }.apply { isDaemon = true }.start()
        await { endpoint.arrived.isNotEmpty() }
        call.cancel()
        assertTrue(endpoint.abandoned.await(500, TimeUnit.MILLISECONDS), "the endpoint still works after 500 ms")
    }

    @Test
    fun `keys and routes are those of the newest configuration`() {
        endpoint(EndpointStandIn.answer(200, "done"))
        start()
        assertEquals(200, call("/once/x", body = "").code)
        assertEquals(401, call("/once/x", body = "", "Authorization" to "Bearer unknown").code)
        assertEquals(404, call("/none/x", body = "").code)
        store.put("op", "config", configuration(version = 2, key = "k-2"))
        await { call("/once/x", body = "").code == 401 }
        assertEquals(200, call("/once/x", body = "", "Authorization" to "Bearer k-2").code)
    }

    @Test
    fun `restarted herd - a request that arrives before the first configuration is served as soon as it is read`() {
        endpoint(EndpointStandIn.answer(200, "done"))
        store.isUp = false
        launch()
        await { runCatching { Socket("127.0.0.1", ports[0]).close() }.isSuccess }
        val answer = CompletableFuture.supplyAsync { call("/once/x", body = "swap").body.string() }
        store.isUp = true
        assertEquals("done", answer.get(10, TimeUnit.SECONDS))
    }

    @Test
    fun `a request is refused at once when the store stays away after the start`() {
        store.isUp = false
        launch()
        await { runCatching { Socket("127.0.0.1", ports[0]).close() }.isSuccess }
        await { status("/once/x", body = "swap") == 503 }
        val before = System.nanoTime()
        await { status("/once/x", body = "swap") == 503 && System.nanoTime() - before > 2_000_000_000 }
        val asked = System.nanoTime()
        assertEquals(503, status("/once/x", body = "swap"))
        assertTrue(System.nanoTime() - asked < 500_000_000, "the refusal took 500 ms or more")
    }

    @Test
    fun `keys stop working when nothing confirms them any more`() {
        endpoint(EndpointStandIn.answer(200, "done"))
        start()
        store.isUp = false
        await { call("/once/x", body = "").code == 503 }
        store.isUp = true
        await { call("/once/x", body = "").code == 200 }
    }

    private fun endpoint(script: (ArrivedRequest, Socket) -> Unit) =
        EndpointStandIn(script).also { endpoints += it }

    private fun start() {
        launch()
        await { runCatching { get("http://127.0.0.1:${ports[1]}/v1/readiness").code }.getOrNull() == 200 }
    }

    private fun launch(callersSocket: ServerSocketChannel? = null) {
        store.put("op", "config", configuration(version = 1, key = "k-1"))
        register()
        val settings = GatewaySettingsFile.parse(
            """
            { instance: g, data-centre: dc, first-start: true, prefill-tokens-per-ms: 45, peer-port: ${ports[3]},
              listen: { callers: "127.0.0.1:${ports[0]}", readiness: "127.0.0.1:${ports[1]}",
                        metrics: "127.0.0.1:${ports[2]}" },
              store: "${store.address}",
              bounds: { key-withdrawal-ms: 2500, stop-grace-s: 8, retry-ratio: 0.2, retry-window-s: 10,
                        retry-allowance: 600, order-lease-ms: 3000, weights-deadline-ms: 8000, quota-overage: 0.1 } }
            """.trimIndent(),
        ).fold({ error(it.joinToString()) }, { it })
        GatewayDaemon(settings, callersSocket).start()
    }

    private fun tellAsPeer(message: String) = DatagramSocket().use {
        it.send(DatagramPacket(message.toByteArray(), message.length, InetAddress.getByName("127.0.0.1"), ports[3]))
    }

    private fun register() = endpoints.forEachIndexed { i, endpoint ->
        val slots = if (i == 0) slotsOfFirst else 4
        val text = """{"backend":"s","address":"${endpoint.address}","zone":"dc","slots":$slots,"state":"ready"}"""
        store.put("servers", "i-$i", text)
    }

    private fun configuration(version: Int, key: String): String {
        val kinds = mapOf(
            "once" to """"non_idempotent","max_attempts":2""",
            "safe" to """"idempotent","max_attempts":2""",
            "stream" to """"streaming","max_attempts":1""",
            "resume" to """"streaming","resumable":true,"max_attempts":2""",
        )
        val routes = kinds.map { (name, kind) ->
            val place = """"hostname":"127.0.0.1","prefix":"/$name/","backend":"s""""
            """{"name":"$name",$place,"timeout_ms":5000,"type":$kind}"""
        }
        return """{"version":$version,"routes":[${routes.joinToString(",")}],"services":[{"name":"s"}],
            "tenants":[{"name":"acme","api_keys":["$key"],"rate_per_s":0,"burst":0}]}"""
    }

    private fun call(target: String, body: String? = null, vararg fields: Pair<String, String>): Response =
        client.newCall(request(target, body, *fields)).execute()

    private fun status(target: String, body: String? = null): Int = call(target, body).use { it.code }

    private fun request(target: String, body: String?, vararg fields: Pair<String, String>): Request {
        val request = Request.Builder().url("http://127.0.0.1:${ports[0]}$target")
            .header("Authorization", "Bearer k-1").header("X-Attempt-Id", "a-${System.nanoTime()}")
            .header("X-Deadline-Ms", "4000")
        fields.forEach { (name, value) -> request.header(name, value) }
        return (if (body == null) request else request.post(body.toRequestBody())).build()
    }

    private fun get(url: String) = client.newCall(Request.Builder().url(url).build()).execute()

    private fun await(condition: () -> Boolean) {
        repeat(600) {
            if (condition()) return
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50))
        }
        error("not observed within 30 s")
    }
}
