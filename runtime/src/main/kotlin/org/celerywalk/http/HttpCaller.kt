package org.celerywalk.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.Headers
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.celerywalk.http.strict.acceptOnlySoundResponses
import org.celerywalk.http.strict.readBody
import org.celerywalk.limit.MemoryBudget
import org.celerywalk.limit.MemoryReservation
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.toJavaDuration

/**
 * An HTTP response whose body has been read into memory.
 *
 * @property isEndedByConnection whether the body had neither a length nor chunks, so that it may have been cut.
 */
internal class BufferedHttpResponse(
    val status: Int,
    val headers: Headers,
    val body: ByteArray,
    val isEndedByConnection: Boolean,
)

/**
 * A call without a complete response.
 *
 * @property mayBeSent true if part of the request may have reached the peer.
 * @property isConnectionRefused true if nothing listens at the peer's address.
 */
internal data class HttpFailure(
    val message: String,
    val mayBeSent: Boolean,
    val isConnectionRefused: Boolean = false,
)

/**
 * HTTP client for one peer. It sends each request once, without retries or redirects, on a bounded number of threads.
 *
 * Each call has a new connection: on one that was used before, a late second copy of an earlier response could not be
 * told from the response to the call.
 *
 * @param name suffix of the thread names.
 */
internal class HttpCaller(
    private val name: String,
    private val limits: HttpLimits,
) : AutoCloseable {
    private class SendTracker {
        val isSendStarted = AtomicBoolean()
    }

    private class SendTrackingListener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendTracker::class.java)?.isSendStarted?.set(true)
        }
    }

    // The longest body, so that all calls to one peer together hold no more than one may.
    private val bodyMemory = MemoryBudget(MAX_BODY_BYTES)
    private val threads = ThreadPoolExecutor(
        limits.maxConcurrentCalls,
        limits.maxConcurrentCalls,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        LinkedBlockingQueue(limits.maxConcurrentCalls + limits.maxQueuedCalls),
    ) { task -> Thread(task, "http-$name").apply { isDaemon = true } }.apply { allowCoreThreadTimeOut(true) }

    private val dispatcher = Dispatcher(threads).apply {
        maxRequests = limits.maxConcurrentCalls
        maxRequestsPerHost = limits.maxConcurrentCalls
    }

    private val client = OkHttpClient.Builder()
        .dispatcher(dispatcher)
        .connectionPool(ConnectionPool(0, IDLE_SECONDS, TimeUnit.SECONDS))
        .connectTimeout(limits.connectTimeout.toJavaDuration())
        .readTimeout(limits.callTimeout.toJavaDuration())
        .writeTimeout(limits.callTimeout.toJavaDuration())
        .callTimeout(limits.callTimeout.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .eventListener(SendTrackingListener())
        .sendOnceDespiteRetryAfter()
        .acceptOnlySoundResponses()
        .build()

    /** Sends [request]; the future completes normally in every case, also with [HttpFailure]. */
    fun call(request: Request.Builder): CompletableFuture<Either<HttpFailure, BufferedHttpResponse>> {
        if (dispatcher.queuedCallsCount() >= limits.maxQueuedCalls) {
            val queueFull = HttpFailure("the queue of ${limits.maxQueuedCalls} calls is full", mayBeSent = false)
            return CompletableFuture.completedFuture(queueFull.left())
        }
        val tracker = SendTracker()
        val result = CompletableFuture<Either<HttpFailure, BufferedHttpResponse>>()
        client.newCall(request.tag(SendTracker::class.java, tracker).build()).enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) {
                    val message = "no response: ${e.message ?: e.javaClass.simpleName}"
                    result.complete(HttpFailure(message, tracker.isSendStarted.get(), e is ConnectException).left())
                }

                override fun onResponse(call: Call, response: Response) {
                    result.complete(readBody(response))
                }
            },
        )
        return result
    }

    override fun close() {
        dispatcher.cancelAll()
        threads.shutdown()
        client.connectionPool.evictAll()
    }

    private fun readBody(response: Response): Either<HttpFailure, BufferedHttpResponse> = try {
        response.use {
            val body = MemoryReservation(bodyMemory).use { memory -> it.readBody(MAX_BODY_BYTES, memory::tryAdd) }
            BufferedHttpResponse(it.code, it.headers, body, isEndedByConnection(it)).right()
        }
    } catch (e: IOException) {
        HttpFailure("the response was cut: ${e.message ?: e.javaClass.simpleName}", mayBeSent = true).left()
    }

    // The head as it was received: OkHttp removes the length of a body that it has decompressed.
    private fun isEndedByConnection(response: Response): Boolean {
        val headers = (response.networkResponse ?: response).headers
        return response.code !in STATUSES_WITHOUT_BODY && FRAMING_HEADERS.all { headers[it] == null }
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        val FRAMING_HEADERS = listOf("Content-Length", "Transfer-Encoding")
        const val IDLE_SECONDS = 30L
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
    }
}
