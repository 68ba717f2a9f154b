package org.celerywalk.gateway

import org.celerywalk.gateway.callers.CallerConnection
import org.celerywalk.gateway.callers.CallerResponse
import org.celerywalk.gateway.callers.DisconnectDetectingConnector
import org.celerywalk.gateway.callers.DisconnectDetectingEndPoint
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.Semaphore
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a pipelined request that was read and gets neither a response nor a refusal. */
class PipelinedRequestTest {
    private val server = Server()
    private val connector = DisconnectDetectingConnector(server, HttpConfiguration()).apply { host = "127.0.0.1" }
    private val isFirstRead = Semaphore(0)

    @Volatile
    private var isGatewayStopping = false

    init {
        server.addConnector(connector)
        server.handler = object : Handler.Abstract() {
            override fun handle(request: Request, response: Response, callback: Callback): Boolean {
                val connection = CallerConnection(request) { isGatewayStopping }
                Content.Source.asInputStream(request).readAllBytes()
                val endPoint = request.connectionMetaData.connection.endPoint as DisconnectDetectingEndPoint
                if (request.httpURI.path == "/first") awaitNextRequest(endPoint)
                if (request.httpURI.path == "/last") isGatewayStopping = true
                CallerResponse(response, callback, connection) {}.apply {
                    start(status = 200, fields = emptyList(), length = 1)
                    write(request.httpURI.path.substring(1, 2).toByteArray())
                    complete()
                }
                return true
            }
        }
        server.start()
    }

    @AfterEach
    fun close() = server.stop()

    @Test
    fun `a stopping gateway closes a connection only after the requests that were read from it`() {
        isGatewayStopping = true
        assertEquals("fs-", sendPipelined())
    }

    @Test
    fun `a stopping gateway closes a connection only after the requests that were read with an earlier one`() {
        isGatewayStopping = true
        val requests = listOf("/a", "/b", "/c").map { path -> request(path, body = "body of $path") }
        assertEquals("abc-", connect().use { it.send(requests.joinToString("")).readBodies(4) })
    }

    @Test
    fun `a gateway that begins to stop while it handles a request announces the close with the response`() {
        assertEquals("l-", connect().use { it.send(request("/last")).readBodies(2) })
    }

    // Returns once the next request was read ahead, as it is while an endpoint handles the first.
    private fun awaitNextRequest(endPoint: DisconnectDetectingEndPoint) {
        endPoint.watchForDisconnect {}
        isFirstRead.release()
        awaitUntil {
            connector.detectDisconnects()
            endPoint.hasBytesAhead
        }
        endPoint.stopWatching()
    }

    // Sends the second request once the first was read, and returns the bodies of the responses.
    private fun sendPipelined(): String = connect().use { caller ->
        caller.send(request("/first"))
        isFirstRead.acquire()
        caller.send(request("/second")).readBodies(3)
    }

    private fun connect() =
        Socket(InetAddress.getLoopbackAddress(), connector.localPort).apply { soTimeout = 5_000 }

    private fun request(path: String, body: String = "") =
        "POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun Socket.send(text: String): Socket = apply { getOutputStream().write(text.toByteArray()) }

    private fun Socket.readBodies(count: Int): String = List(count) { readBody() }.joinToString("")

    // Each body is one character long; the end of the connection is told as "-".
    private fun Socket.readBody(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = getInputStream().read()
            if (next < 0) return "-"
            head.append(next.toChar())
        }
        return getInputStream().read().toChar().toString()
    }
}
