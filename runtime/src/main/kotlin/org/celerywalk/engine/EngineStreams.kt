package org.celerywalk.engine

import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpMethod
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Opens the event streams of one engine on a fixed number of threads.
 *
 * Streams use the HTTP client of Jetty, which reads without blocking and only what the subscriber requests. OkHttp
 * needs a thread per response body, and one thread per stream does not fit in 128 MB of memory. The JDK's client leaves
 * a connection open after a response head that is too long.
 */
internal class EngineStreams(
    private val baseUrl: String,
    connectTimeout: Duration,
    private val limits: EngineStreamLimits,
) : AutoCloseable {
    private val threadFactory = ThreadFactory { task -> Thread(task, "engine-streams").apply { isDaemon = true } }
    private val executor = Executors.newFixedThreadPool(limits.threads + SELECTOR_THREADS, threadFactory)
    private val idleChecker = Executors.newSingleThreadScheduledExecutor(threadFactory)
    private val openStreams = ConcurrentHashMap.newKeySet<EngineStream>()
    private val connector = RequestFirstConnector().also {
        it.selectors = SELECTOR_THREADS
        it.executor = executor
        it.connectTimeout = connectTimeout.toJavaDuration()
    }
    private val client = HttpClient(HttpClientTransportOverHTTP(connector)).also {
        it.isFollowRedirects = false
        it.maxConnectionsPerDestination = Int.MAX_VALUE
        it.maxResponseHeadersSize = MAX_HEAD_BYTES
        // Each stream has its own idle limit, which does not count the time for which it is paused.
        it.idleTimeout = 0
    }

    init {
        client.start()
        client.contentDecoderFactories.clear()
        val period = limits.idleTimeout.inWholeMilliseconds / CHECKS_PER_IDLE_TIMEOUT + 1
        idleChecker.scheduleWithFixedDelay(::failIdleStreams, period, period, TimeUnit.MILLISECONDS)
    }

    /** Posts [body] to [path] as attempt [attemptId] and delivers the events of the response to [listener]. */
    fun open(path: String, attemptId: String, body: ByteArray, listener: EngineListener): EngineCall {
        val stream = EngineStream(listener, baseUrl, System::nanoTime, openStreams::remove)
        openStreams.add(stream)
        val isSending = AtomicBoolean()
        val request = client.newRequest(baseUrl + path)
            .method(HttpMethod.POST)
            .headers {
                it.put(HttpHeader.ACCEPT, "text/event-stream")
                // On a reused connection, a late or surplus response could be taken for that of the next stream.
                it.put(HttpHeader.CONNECTION, "close")
            }
            .body(BytesRequestContent("application/json", body))
            .onRequestBegin { isSending.set(true) }
        request.onResponseContentSource { response, source ->
            ResponseBody(request, source).subscribe(subscriberFor(response, stream, attemptId))
        }
        request.send { result ->
            if (result.isFailed) stream.fail(messageOf(result.failure), isNotExecuted = !isSending.get())
        }
        return StreamCall(stream, request)
    }

    override fun close() {
        openStreams.forEach { it.fail("the engine client was closed", isNotExecuted = false) }
        idleChecker.shutdownNow()
        client.stop()
        executor.shutdown()
    }

    private fun subscriberFor(response: Response, stream: EngineStream, attemptId: String) =
        if (response.status == STATUS_OK) stream else refusalSubscriber(response.status, stream, attemptId)

    private fun refusalSubscriber(status: Int, stream: EngineStream, attemptId: String) =
        BodyPrefixSubscriber(MAX_REFUSAL_BYTES).also {
            it.result.whenComplete { body, failure ->
                val refused = body?.let { refusal("generate", baseUrl, status, body, attemptId) }
                stream.fail(
                    refused?.message ?: "the refusal with status $status was cut: ${messageOf(failure)}",
                    isNotExecuted = refused?.isNotExecuted ?: false,
                )
            }
        }

    private fun failIdleStreams() {
        openStreams.forEach { it.failIfIdle(limits.idleTimeout.inWholeNanoseconds) }
    }

    private class StreamCall(private val stream: EngineStream, private val request: Request) : EngineCall {
        override fun cancel() {
            stream.end()
            request.abort(IOException("the call was cancelled"))
        }

        override fun pause() {
            stream.isPaused = true
        }

        override fun resume() {
            stream.isPaused = false
        }
    }

    private companion object {
        const val STATUS_OK = 200
        const val CHECKS_PER_IDLE_TIMEOUT = 4
        const val SELECTOR_THREADS = 1

        // An engine sends a few short header fields.
        const val MAX_HEAD_BYTES = 32 * 1024

        // The text of a refusal is a short JSON document.
        const val MAX_REFUSAL_BYTES = 64 * 1024
    }
}
