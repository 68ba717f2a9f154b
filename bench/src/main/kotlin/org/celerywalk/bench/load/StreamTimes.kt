package org.celerywalk.bench.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Collects the token times and the counts of all streams of one target. This class is thread-safe. */
internal class StreamTimes {
    val firstTokenMicros = ConcurrentHistogram(SIGNIFICANT_DIGITS)
    val interTokenMicros = ConcurrentHistogram(SIGNIFICANT_DIGITS)
    val completedStreams = AtomicInteger()
    val failedStreams = AtomicInteger()
    val tokenEvents = AtomicLong()
    private val openStreams = AtomicInteger()
    private val openStreamsHighWaterMark = AtomicInteger()

    /** Largest number of streams that were open at the same time. */
    val maxOpenStreams: Int get() = openStreamsHighWaterMark.get()

    fun recordOpened() {
        openStreamsHighWaterMark.accumulateAndGet(openStreams.incrementAndGet(), ::maxOf)
    }

    fun recordEnded(isComplete: Boolean) {
        openStreams.decrementAndGet()
        (if (isComplete) completedStreams else failedStreams).incrementAndGet()
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
    }
}
