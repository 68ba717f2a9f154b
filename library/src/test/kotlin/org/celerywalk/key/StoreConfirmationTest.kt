package org.celerywalk.key

import org.celerywalk.instance.SuspendAwareTimeSource
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against accepting withdrawn keys because the configuration store has not been read recently. */
class StoreConfirmationTest {
    private val time = TestTimeSource()

    @Test
    fun `the age of a confirmation counts from before its read was sent`() {
        val confirmation = StoreConfirmation()
        assertFalse(confirmation.isWithin(5.seconds), "the store was not read")
        val sentAt = time.markNow()
        time += 3.seconds
        confirmation.confirm(sentAt)
        time += 2.seconds
        assertTrue(confirmation.isWithin(5.seconds))
        time += 1.milliseconds
        assertFalse(confirmation.isWithin(5.seconds))
    }

    @Test
    fun `an older confirmation that arrives late changes nothing`() {
        val confirmation = StoreConfirmation()
        val olderReadAt = time.markNow()
        time += 4.seconds
        confirmation.confirm(time.markNow())
        confirmation.confirm(olderReadAt)
        time += 2.seconds
        assertTrue(confirmation.isWithin(3.seconds))
    }

    @Test
    fun `confirmations age during a suspension in which the monotonic clock stops`() {
        var wallClockMillis = 0L
        val clock = SuspendAwareTimeSource(monotonicNanos = { 0 }, wallMillis = { wallClockMillis })
        val confirmation = StoreConfirmation().apply { confirm(clock.markNow()) }
        wallClockMillis = 6_000
        assertFalse(confirmation.isWithin(5.seconds))
    }

    @Test
    fun `setting back the wall clock does not make confirmations younger`() {
        var monotonicNanos = 0L
        var wallClockMillis = 100_000L
        val clock = SuspendAwareTimeSource({ monotonicNanos }, { wallClockMillis })
        val confirmation = StoreConfirmation().apply { confirm(clock.markNow()) }
        wallClockMillis = 0
        monotonicNanos = 6_000_000_000
        assertFalse(confirmation.isWithin(5.seconds))
    }
}
