package org.celerywalk.key

import org.celerywalk.instance.SuspendAwareTimeSource
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against keys that work after their withdrawal because the store was not read. */
class StoreConfirmationTest {
    private val time = TestTimeSource()

    @Test
    fun `a confirmation counts from before its read was sent`() {
        val confirmation = StoreConfirmation()
        assertFalse(confirmation.isWithin(5.seconds), "nothing was read")
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
        val old = time.markNow()
        time += 4.seconds
        confirmation.confirm(time.markNow())
        confirmation.confirm(old)
        time += 2.seconds
        assertTrue(confirmation.isWithin(3.seconds))
    }

    @Test
    fun `a suspension ages confirmations although the monotonic clock stood still`() {
        var wall = 0L
        val clock = SuspendAwareTimeSource(monotonicNanos = { 0 }, wallMillis = { wall })
        val confirmation = StoreConfirmation().apply { confirm(clock.markNow()) }
        wall = 6_000
        assertFalse(confirmation.isWithin(5.seconds))
    }

    @Test
    fun `a time of day that is set back does not make confirmations younger`() {
        var nanos = 0L
        var wall = 100_000L
        val clock = SuspendAwareTimeSource({ nanos }, { wall })
        val confirmation = StoreConfirmation().apply { confirm(clock.markNow()) }
        wall = 0
        nanos = 6_000_000_000
        assertFalse(confirmation.isWithin(5.seconds))
    }
}
