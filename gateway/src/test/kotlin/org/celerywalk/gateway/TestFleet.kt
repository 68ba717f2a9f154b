package org.celerywalk.gateway

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.celerywalk.gateway.peers.PeerMessageCompressor
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Gateway with a store and endpoints; [bounds] changes the bounds of [testSettings]. */
internal class TestFleet(bounds: GatewayBounds.() -> GatewayBounds = { this }) : AutoCloseable {
    val store = StoreStandIn()
    val gateway = TestGateway(store, bounds)
    private val attemptNumber = AtomicInteger()
    private val standIns = mutableListOf<EndpointStandIn>()

    /** Endpoints in the order in which they were added. */
    val endpoints: List<EndpointStandIn> get() = standIns

    /** Adds [endpoint] to [service]; among idle endpoints, the gateway prefers the one with the most [slots]. */
    fun add(endpoint: EndpointStandIn, service: String = SERVICE, slots: Int = 4): EndpointStandIn {
        val address = """"address":"${endpoint.address}","zone":"dc""""
        val entry = """{"backend":"$service",$address,"slots":$slots,"state":"ready"}"""
        store.put("servers", "i-${standIns.size}", entry)
        standIns += endpoint
        return endpoint
    }

    /** Adds an endpoint that handles each request with [script]. */
    fun add(service: String = SERVICE, script: (ReceivedRequest, Socket) -> Unit): EndpointStandIn =
        add(EndpointStandIn(script), service)

    /** Starts the gateway with [routes] and [services], and returns when it is ready. */
    fun start(vararg routes: String, services: String = "") {
        store.put("op", "config", """{"version":1,"services":[$services],"routes":[${routes.joinToString(",")}]}""")
        gateway.start()
    }

    /** Returns a request of a caller to [route]; each has another attempt ID. */
    fun request(route: String): Request.Builder = Request.Builder().url("${gateway.url}/$route/x")
        .header("X-Attempt-Id", "a-${attemptNumber.incrementAndGet()}").header("X-Deadline-Ms", "8000")
        .post("p".toRequestBody())

    /** Sends [message] to the gateway as another gateway would. */
    fun sendAsPeer(message: String) = DatagramSocket().use {
        val address = InetAddress.getByName("127.0.0.1")
        val bytes = PeerMessageCompressor().use { compressor -> compressor.compress(message.toByteArray()) }
        it.send(DatagramPacket(bytes, bytes.size, address, gateway.peerPort))
    }

    override fun close() {
        store.close()
        standIns.forEach { it.close() }
    }

    companion object {
        private const val SERVICE = "s"

        /** Returns the route [name] of the type [type], with [fields] in addition, such as `"resumable":true`. */
        fun route(
            name: String,
            type: String,
            fields: String = "\"max_attempts\":1",
            service: String = SERVICE,
            timeoutMillis: Int = 5_000,
        ): String =
            """{"name":"$name","hostname":"127.0.0.1","prefix":"/$name/","backend":"$service",
                "timeout_ms":$timeoutMillis,"type":"$type",$fields}"""
    }
}

/** Adds the fields of a generation with the prompt parts [prompt], written `ID:TOKENS,ID:TOKENS`. */
internal fun Request.Builder.withPrompt(prompt: String): Request.Builder =
    header("X-Model", "m").header("X-Token-Usage", "20,5").header("X-Prompt-Prefix", prompt)
