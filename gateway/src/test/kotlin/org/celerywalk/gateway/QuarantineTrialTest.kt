package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against requests with a harmful prompt part that reach endpoints although the part is in quarantine. */
class QuarantineTrialTest {
    private val store = StoreStandIn()
    private val gateway = TestGateway(store)
    private val endpoints = List(ENDPOINTS) { EndpointStandIn { request, socket -> answer(request, socket) } }
    private val sentEvents = AtomicInteger()
    private val ended = CountDownLatch(1)

    @AfterEach
    fun close() {
        ended.countDown()
        store.close()
        endpoints.forEach { it.close() }
    }

    @Test
    fun `a trial whose caller leaves is not followed by another one at once`() {
        start()
        reportCrashes()
        repeat(4) { runCatching { call("stream", "$FIRST,51:5,b$it:1", readMillis = 200).close() } }
        assertEquals(1, receivedCount("51:5"))
    }

    @Test
    fun `a stream that goes on does not clear a part that has become harmful since it began`() {
        start()
        val firstEvent = CompletableFuture<String?>()
        val stream = thread {
            runCatching {
                call("stream", "$FIRST,dead:5,1091:1").use {
                    firstEvent.complete(it.body.source().readUtf8Line())
                    it.body.string()
                }
            }
        }
        assertEquals("id: 1", firstEvent.get(30, TimeUnit.SECONDS))
        awaitMoreEvents()
        repeat(4) {
            call("stream", "$FIRST,dead:5,a$it:1").close()
            awaitMoreEvents()
        }
        ended.countDown()
        stream.join()
        assertEquals(2, endpoints.count { it.isClosed })
    }

    private fun awaitMoreEvents() {
        val count = sentEvents.get()
        awaitUntil { sentEvents.get() >= count + 5 }
    }

    // The trial of part 51 is due, that of part 52 isn't.
    private fun reportCrashes() {
        val message = """{"name":"g","number":1,"suspects":{"51":{"crashes":{"e-1":9000,"e-2":9000}},
            "52":{"crashes":{"e-3":0,"e-4":0}}}}"""
        DatagramSocket().use {
            val address = InetAddress.getByName("127.0.0.1")
            it.send(DatagramPacket(message.toByteArray(), message.length, address, gateway.peerPort))
        }
        awaitUntil { call("stream", "$FIRST,52:5,a:1").use { it.code } == UNAVAILABLE }
    }

    private fun receivedCount(part: String) = endpoints.sumOf { endpoint ->
        endpoint.receivedRequests.count { part in it.fields["x-prompt-prefix"].orEmpty() }
    }

    private fun answer(request: ReceivedRequest, socket: Socket) {
        val prompt = request.fields["x-prompt-prefix"] ?: return
        when {
            "1091:" in prompt -> goOn(socket)
            "dead" in prompt -> endpoints.first { it.address.endsWith(":${socket.localPort}") }.close()
            "51:5" in prompt -> ended.await(5, TimeUnit.SECONDS)
            else -> EndpointStandIn.stream("id: 1\ndata: a\n\n", isComplete = true)(request, socket)
        }
    }

    private fun goOn(socket: Socket) {
        val output = socket.getOutputStream()
        output.write("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray())
        try {
            while (!ended.await(50, TimeUnit.MILLISECONDS)) {
                output.write("f\r\nid: 1\ndata: a\n\n\r\n".toByteArray())
                sentEvents.incrementAndGet()
            }
            output.write("0\r\n\r\n".toByteArray())
        } catch (_: IOException) {
            return
        }
    }

    private fun start() {
        store.put("op", "config", CONFIGURATION)
        endpoints.forEachIndexed { index, endpoint ->
            val text = """{"backend":"s","address":"${endpoint.address}","zone":"dc","slots":64,"state":"ready"}"""
            store.put("servers", "i-$index", text)
        }
        gateway.start()
    }

    private fun call(route: String, prompt: String, readMillis: Long = 10_000): Response =
        gateway.client.newBuilder().readTimeout(readMillis, TimeUnit.MILLISECONDS).build().newCall(
            Request.Builder().url("${gateway.url}/$route/x").header("X-Attempt-Id", "a-${System.nanoTime()}")
                .header("X-Deadline-Ms", "8000").header("X-Model", "m").header("X-Token-Usage", "20,5")
                .header("X-Prompt-Prefix", prompt).post("p".toRequestBody()).build(),
        ).execute()

    private companion object {
        const val ENDPOINTS = 6
        const val UNAVAILABLE = 503
        const val FIRST = "f:10"
        const val CONFIGURATION = """{"version":1,"services":[{"name":"s"}],"routes":[
            {"name":"stream","hostname":"127.0.0.1","prefix":"/stream/","backend":"s","timeout_ms":9000,
             "type":"streaming","max_attempts":1}]}"""
    }
}
