package org.celerywalk.gateway

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
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes a request as it goes to an endpoint. */
internal class EndpointRequest(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray?,
)

/** Says how far a send got. */
internal sealed interface SendResult {
    /** The endpoint answered; the body is still to be read. */
    class Answered(val response: Response) : SendResult

    /** Nothing was sent. */
    class NotSent(val cause: String) : SendResult

    /** The request may have run. */
    class Lost(val cause: String) : SendResult
}

/** Sends requests to endpoints, each exactly once and on a connection of its own. */
internal class EndpointClient {
    private class SendMark {
        @Volatile
        var sent = false
    }

    private class SendListener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendMark::class.java)?.sent = true
        }
    }

    // OkHttp repeats a request that was answered by 503 with "Retry-After: 0".
    private val withoutRepeats = Interceptor { chain ->
        val response = chain.proceed(chain.request())
        if (response.code == UNAVAILABLE) response.newBuilder().removeHeader("Retry-After").build() else response
    }

    private val client = OkHttpClient.Builder()
        // Loading the certificates for TLS takes a good part of the start.
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        // A late or extra answer on a kept connection would belong to another request.
        .connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .writeTimeout(WRITE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .eventListener(SendListener())
        .addNetworkInterceptor(withoutRepeats)
        .build()

    /** Prepares a call, or returns null if the path could only be sent in another spelling. */
    fun prepare(address: String, request: EndpointRequest, silence: Duration?): Call? {
        val headers = Headers.Builder()
        request.headers.forEach { (name, value) -> headers.addUnsafeNonAscii(name, value) }
        if (headers["Accept-Encoding"] == null) headers.add("Accept-Encoding", "identity")
        if (headers["User-Agent"] == null) headers.add("User-Agent", "celerywalk")
        val built = Request.Builder().url("http://$address${request.target}").headers(headers.build())
            .header("Connection", "close")
            .method(request.method, body(request))
            .tag(SendMark::class.java, SendMark())
            .build()
        val target = built.url.encodedPath + built.url.encodedQuery?.let { "?$it" }.orEmpty()
        if (target != request.target) return null
        return (if (silence == null) client else withSilence(silence)).newCall(built)
    }

    private fun withSilence(silence: Duration) =
        client.newBuilder().readTimeout(silence.inWholeMilliseconds, TimeUnit.MILLISECONDS).build()

    /** Makes [call] and waits for the head of the answer. */
    fun send(call: Call): SendResult = try {
        SendResult.Answered(call.execute())
    } catch (e: IOException) {
        val cause = e.message ?: e.javaClass.simpleName
        val sent = call.request().tag(SendMark::class.java)?.sent == true
        if (sent) SendResult.Lost(cause) else SendResult.NotSent(cause)
    }

    private fun body(request: EndpointRequest): RequestBody? = when {
        request.body != null && request.method !in WITHOUT_BODY -> request.body.toRequestBody()
        request.method in WITH_BODY -> ByteArray(0).toRequestBody()
        else -> null
    }

    private companion object {
        const val UNAVAILABLE = 503
        val WITHOUT_BODY = setOf("GET", "HEAD")
        val WITH_BODY = setOf("POST", "PUT", "PATCH")

        // Endpoints are a millisecond or two away; one that does not accept by then is down or full.
        val CONNECT_TIMEOUT = 300.milliseconds
        val WRITE_TIMEOUT = 5.seconds
    }
}
