package org.celerywalk.stream

import org.celerywalk.routing.MovingDuration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Holds the streams in progress that can go on at another endpoint, by the endpoint that makes them.
 *
 * An endpoint that drains is held up by its longest stream, unless that can be resumed elsewhere. Safe for use from
 * several threads.
 */
public class RelocatableStreams(private val timeSource: TimeSource.WithComparableMarks) {
    private val byEndpoint = ConcurrentHashMap<String, MutableSet<RelocatableStream>>()
    private val timePerToken = MovingDuration(USUAL_TIME_PER_TOKEN)

    /** Describes a stream that begins now and is expected to bring [tokens], 0 if that is not known. */
    public fun begin(tokens: Int, permit: () -> Boolean, cancel: () -> Unit): RelocatableStream {
        val perToken = synchronized(timePerToken) { timePerToken.value }
        val expected = if (tokens > 0) perToken * tokens else Duration.INFINITE
        return RelocatableStream(timeSource.markNow(), expected, permit, cancel)
    }

    /** Learns from a whole stream that was expected to bring [tokens] and took [time]. */
    public fun ended(tokens: Int, time: Duration) {
        if (tokens > 0) synchronized(timePerToken) { timePerToken.add(time / tokens) }
    }

    /** Adds [stream], which [endpoint] makes; closing the result removes it. */
    public fun add(endpoint: String, stream: RelocatableStream): AutoCloseable {
        byEndpoint.computeIfAbsent(endpoint) { ConcurrentHashMap.newKeySet() }.add(stream)
        return AutoCloseable {
            byEndpoint.computeIfPresent(endpoint) { _, streams ->
                streams.remove(stream)
                streams.takeIf { it.isNotEmpty() }
            }
        }
    }

    /**
     * Relocates those streams of [endpoint] that would hold it up, as far as the budget allows, the longest first;
     * returns their number.
     */
    public fun relocateFrom(endpoint: String): Int = byEndpoint[endpoint].orEmpty()
        .map { it to it.expectedRest() }
        .filter { (_, rest) -> rest >= WORTH_MOVING }
        .sortedByDescending { (_, rest) -> rest }
        .count { (stream, _) -> stream.relocate() }

    private companion object {
        // Decode steps of a replica that is half full.
        val USUAL_TIME_PER_TOKEN = 10.milliseconds

        // A stream that ends sooner delays its endpoint by less than reading its prompt again costs another one.
        val WORTH_MOVING = 500.milliseconds
    }
}

/**
 * Ends a stream at its endpoint, so that it can be resumed at another one.
 *
 * @param permit takes one resumption from the budget for repeated sends; false if it is spent.
 * @param cancel ends the call to the endpoint.
 */
public class RelocatableStream internal constructor(
    private val begunAt: ComparableTimeMark,
    private val expected: Duration,
    private val permit: () -> Boolean,
    private val cancel: () -> Unit,
) {
    private val moved = AtomicBoolean()

    /** True once the stream was ended in order to go on elsewhere. */
    public val relocated: Boolean get() = moved.get()

    /** Time that the stream is expected to go on. One that has taken longer than expected may do so for a while. */
    internal fun expectedRest(): Duration {
        val age = begunAt.elapsedNow()
        return if (expected.isInfinite()) expected else maxOf(expected - age, age * REST_OF_OVERDUE)
    }

    /** Ends the stream at its endpoint, at most once; returns false if that is not allowed or was done before. */
    internal fun relocate(): Boolean {
        if (moved.get() || !permit() || !moved.compareAndSet(false, true)) return false
        cancel()
        return true
    }

    private companion object {
        // Estimates of the length are right in the median only; this is about the rest of those that are too low.
        const val REST_OF_OVERDUE = 0.25
    }
}
