package org.celerywalk.instance

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an exchange that takes the processor time of requests once the fleet has grown. */
class ExchangeTimingTest {
    @Test
    fun `an instance receives at most 200 messages a second however many instances there are`() {
        (1..2_000).forEach { count ->
            val messagesPerSecond = (count - 1) * (1.seconds / ExchangeTiming { count }.interval)
            assertTrue(messagesPerSecond <= 200, "$count instances: $messagesPerSecond messages a second")
        }
    }

    @Test
    fun `an instance counts as silent only after several of its messages are missing`() {
        (1..2_000).forEach { count ->
            val timing = ExchangeTiming { count }
            assertTrue(timing.silenceThreshold >= timing.interval * 4, "$count instances")
        }
    }

    @Test
    fun `a small fleet keeps the shortest interval`() {
        assertEquals(100.milliseconds, ExchangeTiming { 5 }.interval)
    }
}
