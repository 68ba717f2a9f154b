package org.celerywalk.bench.load

import java.net.http.HttpClient
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Flow
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/** Sends completions and measures the times of their tokens. The JDK client needs no thread for each open stream. */
internal class LoadClient(private val target: LoadTarget) {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .build()
    val times = StreamTimes()

    /** Sends one completion; the future completes when its stream has ended. */
    fun send(prompt: String, maxTokens: Int): CompletableFuture<Unit> {
        val request = target.request(prompt, maxTokens)
        val reader = StreamReader()
        times.recordOpened()
        return client.sendAsync(request) { HttpResponse.BodySubscribers.fromLineSubscriber(reader) }
            .handle { response, _ ->
                times.recordEnded(response != null && response.statusCode() == HTTP_OK && reader.hasEndEvent)
            }
    }

    private inner class StreamReader : Flow.Subscriber<String> {
        private val sendTime = TimeSource.Monotonic.markNow()
        private var lastTokenTime = sendTime
        private var tokenEvents = 0
        var hasEndEvent = false
            private set

        override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

        override fun onNext(line: String) {
            when (target.classify(line)) {
                StreamLineKind.TOKENS -> recordToken()
                StreamLineKind.END -> hasEndEvent = true
                StreamLineKind.OTHER -> Unit
            }
        }

        override fun onError(failure: Throwable) = Unit

        override fun onComplete() = Unit

        private fun recordToken() {
            val micros = lastTokenTime.elapsedNow().toLong(DurationUnit.MICROSECONDS)
            (if (tokenEvents == 0) times.firstTokenMicros else times.interTokenMicros).recordValue(micros)
            tokenEvents++
            times.tokenEvents.incrementAndGet()
            lastTokenTime = TimeSource.Monotonic.markNow()
        }
    }

    private companion object {
        const val HTTP_OK = 200
        val CONNECT_TIMEOUT = 5.seconds
    }
}
