package org.celerywalk.gateway.endpoints

import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.celerywalk.http.strict.SocketBuffers
import org.celerywalk.http.strict.acceptOnlySoundResponses
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP request to an endpoint; [target] is the path and query. */
internal class EndpointRequest(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray?,
)

/** Outcome of sending a request, up to the head of the response. */
internal sealed interface SendResult {
    /**
     * The head of the response was received; its body is still to be read.
     *
     * @param retryAfter values of the header field that [response] no longer has, see [EndpointClient].
     */
    class ResponseReceived(val response: Response, private val retryAfter: List<String>) : SendResult {
        /** Returns the values of the header field [name] as they were received. */
        fun fields(name: String): List<String> =
            if (name.equals(RETRY_AFTER, ignoreCase = true)) retryAfter else response.headers(name)
    }

    /** Nothing was sent, so the request was not executed. */
    class NotSent(val cause: String) : SendResult

    /** The request was sent at least in part, without a response; the endpoint may have executed it. */
    class ResponseLost(val cause: String) : SendResult
}

/** HTTP client for endpoints. Sends each request at most once and on a new connection. */
internal class EndpointClient {
    private class SendProgress {
        @Volatile
        var isStarted = false

        @Volatile
        var retryAfter = emptyList<String>()
    }

    private class SendListener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendProgress::class.java)?.isStarted = true
        }
    }

    // OkHttp would repeat a request after a response 503 with "Retry-After: 0", and fail on a very large number.
    private val takeRetryAfter = Interceptor { chain ->
        val response = chain.proceed(chain.request())
        chain.request().tag(SendProgress::class.java)?.retryAfter = response.headers(RETRY_AFTER)
        if (response.code == UNAVAILABLE) response.newBuilder().removeHeader(RETRY_AFTER).build() else response
    }

    private val client = OkHttpClient.Builder()
        // Loading the TLS certificates would take a large part of the process's start time.
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        // On a reused connection, a late or surplus response could be taken for the response to the next request.
        .connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        // An endpoint has one address. Trying several at once would run each connect on threads of its own.
        .fastFallback(false)
        .connectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .writeTimeout(WRITE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .eventListener(SendListener())
        .addNetworkInterceptor(takeRetryAfter)
        .acceptOnlySoundResponses(BUFFERS)
        .build()

    /**
     * Prepares a call to the endpoint at [address], or returns null if OkHttp would rewrite the path or query.
     */
    fun prepare(address: String, request: EndpointRequest): Call? {
        val headers = Headers.Builder()
        request.headers.forEach { (name, value) -> headers.addUnsafeNonAscii(name, value) }
        if (headers["Accept-Encoding"] == null) headers.add("Accept-Encoding", "identity")
        if (headers["User-Agent"] == null) headers.add("User-Agent", "celerywalk")
        val built = Request.Builder().url("http://$address${request.target}").headers(headers.build())
            .header("Connection", "close")
            .method(request.method, body(request))
            .tag(SendProgress::class.java, SendProgress())
            .build()
        val encodedTarget = built.url.encodedPath + built.url.encodedQuery?.let { "?$it" }.orEmpty()
        if (encodedTarget != request.target) return null
        return client.newCall(built)
    }

    /** Executes [call] and waits for the head of the response. Blocks the thread. */
    fun send(call: Call): SendResult = try {
        val response = call.execute()
        SendResult.ResponseReceived(response, call.request().tag(SendProgress::class.java)?.retryAfter.orEmpty())
    } catch (e: IOException) {
        val cause = e.message ?: e.javaClass.simpleName
        val isStarted = call.request().tag(SendProgress::class.java)?.isStarted == true
        if (isStarted) SendResult.ResponseLost(cause) else SendResult.NotSent(cause)
    }

    /**
     * Connects to the endpoint at [address] and returns true if it refuses, as after the end of its process. Blocks the
     * thread, for the connect timeout if the machine is silent.
     */
    fun refusesConnections(address: String): Boolean {
        val firstAnswer = tryConnect(address)
        // The connections of a process may end shortly before its listening socket.
        if (firstAnswer == ConnectAnswer.ACCEPTED) LockSupport.parkNanos(SECOND_CONNECT_DELAY.inWholeNanoseconds)
        val answer = if (firstAnswer == ConnectAnswer.ACCEPTED) tryConnect(address) else firstAnswer
        return answer == ConnectAnswer.REFUSED
    }

    private enum class ConnectAnswer { ACCEPTED, REFUSED, NONE }

    private fun tryConnect(address: String): ConnectAnswer {
        val (host, port) = address.split(':')
        return try {
            Socket().use {
                it.connect(InetSocketAddress(host, port.toInt()), CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            }
            ConnectAnswer.ACCEPTED
        } catch (_: ConnectException) {
            ConnectAnswer.REFUSED
        } catch (_: IOException) {
            // A silent or unreachable machine says nothing about the process.
            ConnectAnswer.NONE
        }
    }

    private fun body(request: EndpointRequest): RequestBody? = when {
        request.body != null && request.method !in METHODS_WITHOUT_BODY -> request.body.toRequestBody()
        request.method in METHODS_REQUIRING_BODY -> ByteArray(0).toRequestBody()
        else -> null
    }

    private companion object {
        const val UNAVAILABLE = 503
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
        val METHODS_REQUIRING_BODY = setOf("POST", "PUT", "PATCH")

        // The network delay to endpoints is 1 to 2 ms; one that does not accept within this time is down or overloaded.
        val CONNECT_TIMEOUT = 300.milliseconds
        val WRITE_TIMEOUT = 5.seconds

        // By default, the operating system lets the buffer of a response that is not read grow to 6 MB and that of a
        // request to 4 MB, which 200 open requests do not have. It reports space for a request only once a third of the
        // buffer is free, so that a slow endpoint would run into the write timeout. The receive buffer allows 16 MB/s
        // at a network delay of 2 ms.
        val BUFFERS = SocketBuffers(receiveBytes = 32 * 1024, sendBytes = 64 * 1024)
        val SECOND_CONNECT_DELAY = 20.milliseconds
    }
}

private const val RETRY_AFTER = "Retry-After"
