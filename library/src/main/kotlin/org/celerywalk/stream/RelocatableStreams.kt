package org.celerywalk.stream

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Holds the streams in progress that can go on at another endpoint, by the endpoint that makes them.
 *
 * An endpoint that drains is held up by its longest stream, unless that can be resumed elsewhere. Safe for use from
 * several threads.
 */
public class RelocatableStreams {
    private val byEndpoint = ConcurrentHashMap<String, MutableSet<RelocatableStream>>()

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

    /** Relocates the streams of [endpoint] that may be, and returns their number. */
    public fun relocateFrom(endpoint: String): Int = byEndpoint[endpoint].orEmpty().count { it.relocate() }
}

/**
 * Ends a stream at its endpoint, so that it can be resumed at another one.
 *
 * @param permit takes one resumption from the budget for repeated sends; false if it is spent.
 * @param cancel ends the call to the endpoint.
 */
public class RelocatableStream(private val permit: () -> Boolean, private val cancel: () -> Unit) {
    private val asked = AtomicBoolean()

    /** True once the stream was ended in order to go on elsewhere. */
    @Volatile
    public var relocated: Boolean = false
        private set

    /** Ends the stream at its endpoint, at most once; returns false if that is not allowed or was done before. */
    public fun relocate(): Boolean {
        if (!asked.compareAndSet(false, true) || !permit()) return false
        relocated = true
        cancel()
        return true
    }
}
