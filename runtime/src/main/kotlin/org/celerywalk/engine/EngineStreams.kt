package org.celerywalk.engine

import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandler
import java.net.http.HttpResponse.BodySubscribers
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Opens the event streams of one engine on a fixed number of threads.
 *
 * Streams use the HTTP client of the JDK, which reads without blocking and only what the subscriber requests. OkHttp
 * needs a thread per response body, and one thread per stream does not fit in 128 MB of memory.
 */
internal class EngineStreams(
    private val baseUrl: String,
    connectTimeout: Duration,
    private val limits: EngineStreamLimits,
) : AutoCloseable {
    private val threadFactory = ThreadFactory { task -> Thread(task, "engine-streams").apply { isDaemon = true } }
    private val executor = Executors.newFixedThreadPool(limits.threads, threadFactory)
    private val idleChecker = Executors.newSingleThreadScheduledExecutor(threadFactory)
    private val openStreams = ConcurrentHashMap.newKeySet<EngineStream>()
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(connectTimeout.toJavaDuration())
        .followRedirects(HttpClient.Redirect.NEVER)
        .executor(executor)
        .build()

    init {
        val period = limits.idleTimeout.inWholeMilliseconds / CHECKS_PER_IDLE_TIMEOUT + 1
        idleChecker.scheduleWithFixedDelay(::failIdleStreams, period, period, TimeUnit.MILLISECONDS)
    }

    /** Posts [body] to [path] as attempt [attemptId] and delivers the events of the response to [listener]. */
    fun open(path: String, attemptId: String, body: ByteArray, listener: EngineListener): EngineCall {
        val stream = EngineStream(listener, baseUrl, System::nanoTime, openStreams::remove)
        openStreams.add(stream)
        val request = HttpRequest.newBuilder(URI.create(baseUrl + path))
            .header("Content-Type", "application/json")
            .header("Accept", "text/event-stream")
            .POST(BodyPublishers.ofByteArray(body))
            .build()
        val refusal = AtomicReference<EngineError?>()
        val handler = streamOrRefusalHandler(stream, attemptId, refusal)
        val exchange = client.sendAsync(request, handler).whenComplete { _, failure ->
            val refused = refusal.get()
            when {
                failure != null -> stream.fail(messageOf(cause(failure)), isNotExecuted = isUnsent(failure))
                refused != null -> stream.fail(refused.message, refused.isNotExecuted)
            }
        }
        return StreamCall(stream, exchange)
    }

    override fun close() {
        openStreams.forEach { it.fail("the engine client was closed", isNotExecuted = false) }
        idleChecker.shutdownNow()
        executor.shutdown()
    }

    private fun streamOrRefusalHandler(
        stream: EngineStream,
        attemptId: String,
        refusal: AtomicReference<EngineError?>,
    ): BodyHandler<Void?> = BodyHandler { info ->
        if (info.statusCode() == STATUS_OK) {
            BodySubscribers.fromSubscriber(stream)
        } else {
            BodySubscribers.mapping(BodyPrefixSubscriber(MAX_REFUSAL_BYTES)) {
                refusal.set(refusal("generate", baseUrl, info.statusCode(), it, attemptId))
                null
            }
        }
    }

    private fun failIdleStreams() {
        openStreams.forEach { it.failIfIdle(limits.idleTimeout.inWholeNanoseconds) }
    }

    private fun isUnsent(failure: Throwable): Boolean =
        cause(failure).let { it is ConnectException || it is HttpConnectTimeoutException }

    private fun cause(failure: Throwable): Throwable =
        if (failure is CompletionException) failure.cause ?: failure else failure

    private class StreamCall(private val stream: EngineStream, private val exchange: Future<*>) : EngineCall {
        override fun cancel() {
            stream.end()
            exchange.cancel(true)
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

        // The text of a refusal is a short JSON document.
        const val MAX_REFUSAL_BYTES = 64 * 1024
    }
}
