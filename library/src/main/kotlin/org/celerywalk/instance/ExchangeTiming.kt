package org.celerywalk.instance

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of an exchange in which each instance sends its state to all others.
 *
 * The interval grows with the number of instances, so that the number of messages that one instance receives per second
 * does not.
 *
 * @param instanceCount returns the number of instances, including this one.
 */
public class ExchangeTiming(private val instanceCount: () -> Int) {
    /** Time between two messages of one instance to another. */
    public val interval: Duration get() = maxOf(MIN_INTERVAL, TIME_PER_MESSAGE * instanceCount())

    /** Time without a message after which an instance counts as silent. */
    public val silenceThreshold: Duration get() = maxOf(MIN_SILENCE, interval * SILENT_INTERVALS)

    /** Time after which a message repeats the whole state, in case messages with changes were lost. */
    public val completeStateInterval: Duration get() = maxOf(MIN_COMPLETE_STATE_INTERVAL, interval)

    private companion object {
        // Limits how far a client account that sends at many times its rate gets beyond its burst before all instances
        // have the reports of its cost.
        val MIN_INTERVAL = 100.milliseconds

        // An instance receives at most 200 messages per second.
        val TIME_PER_MESSAGE = 5.milliseconds
        val MIN_SILENCE = 1.seconds
        const val SILENT_INTERVALS = 5
        val MIN_COMPLETE_STATE_INTERVAL = 700.milliseconds
    }
}
