package org.celerywalk.stream

import org.celerywalk.routing.DurationMovingAverage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Tracks, by endpoint, the streams in progress that can be resumed at another endpoint.
 *
 * A drain takes as long as the longest stream of the endpoint, unless that stream can be resumed at another endpoint.
 * This class is thread-safe.
 */
public class RelocatableStreams(private val timeSource: TimeSource.WithComparableMarks) {
    private val streamsByEndpoint = ConcurrentHashMap<String, MutableSet<RelocatableStream>>()
    private val timePerToken = DurationMovingAverage(INITIAL_TIME_PER_TOKEN)

    /**
     * Returns a stream that begins now and is expected to have [expectedTokens] tokens, 0 if unknown.
     *
     * @param tryCancel cancels the call to the endpoint with a retry from the budget; returns false if the stream must
     *   stay at its endpoint, such as when the budget is spent.
     */
    public fun begin(expectedTokens: Int, tryCancel: () -> Boolean): RelocatableStream {
        val expectedTime = if (expectedTokens > 0) expectedDuration(expectedTokens) else Duration.INFINITE
        return RelocatableStream(timeSource.markNow(), expectedTime, tryCancel)
    }

    /** Estimates the duration of a stream of [tokens] tokens by those that have completed. */
    public fun expectedDuration(tokens: Int): Duration = synchronized(timePerToken) { timePerToken.value } * tokens

    /** Updates the time per token by a completed stream that was expected to have [expectedTokens] tokens. */
    public fun recordCompletion(expectedTokens: Int, duration: Duration) {
        if (expectedTokens > 0) synchronized(timePerToken) { timePerToken.add(duration / expectedTokens) }
    }

    /** Adds [stream] of [endpoint]; closing the result removes it. */
    public fun add(endpoint: String, stream: RelocatableStream): AutoCloseable {
        streamsByEndpoint.computeIfAbsent(endpoint) { ConcurrentHashMap.newKeySet() }.add(stream)
        return AutoCloseable {
            streamsByEndpoint.computeIfPresent(endpoint) { _, streams ->
                streams.remove(stream)
                streams.takeIf { it.isNotEmpty() }
            }
        }
    }

    /**
     * Relocates those streams of [endpoint] that would delay its drain, longest first, as far as the retry budget
     * allows; returns the number of relocated streams.
     */
    public fun relocateFrom(endpoint: String): Int = streamsByEndpoint[endpoint].orEmpty()
        .map { it to it.expectedTimeLeft() }
        .filter { (_, timeLeft) -> timeLeft >= MIN_TIME_LEFT }
        .sortedByDescending { (_, timeLeft) -> timeLeft }
        .count { (stream, _) -> stream.relocate() }

    private companion object {
        // Time of a decode step of a half-full replica.
        val INITIAL_TIME_PER_TOKEN = 10.milliseconds

        // A stream that ends sooner delays the drain by less than the repeated prefill costs another endpoint.
        val MIN_TIME_LEFT = 500.milliseconds
    }
}

/**
 * Cancels a stream at its endpoint, so that it can be resumed at another endpoint.
 *
 * @param expectedTime expected duration of the whole stream, infinite if unknown.
 * @param tryCancel cancels the call to the endpoint with a retry from the budget; returns false if the stream must stay
 *   at its endpoint.
 */
public class RelocatableStream internal constructor(
    private val startedAt: ComparableTimeMark,
    private val expectedTime: Duration,
    private val tryCancel: () -> Boolean,
) {
    private val wasRelocated = AtomicBoolean()

    /** True once the stream was cancelled in order to be resumed at another endpoint. */
    public val isRelocated: Boolean get() = wasRelocated.get()

    /** Estimates the time until the stream ends; a stream beyond its expected duration may still go on for a while. */
    internal fun expectedTimeLeft(): Duration {
        val age = startedAt.elapsedNow()
        return if (expectedTime.isInfinite()) expectedTime else maxOf(expectedTime - age, age * OVERDUE_SHARE)
    }

    /** Cancels the stream once; returns false if it was cancelled before or must stay at its endpoint. */
    internal fun relocate(): Boolean = !wasRelocated.get() && tryCancel() && wasRelocated.compareAndSet(false, true)

    private companion object {
        // The expected duration is a median, so many streams exceed it. This is about the time that such a stream still
        // takes, as a share of its age.
        const val OVERDUE_SHARE = 0.25
    }
}
