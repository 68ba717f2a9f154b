package org.celerywalk.weights

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against serving on outdated weights when several versions are published in quick succession. */
class WeightHistoryTest {
    private val time = TestTimeSource()
    private val history = WeightHistory(time)

    @Test
    fun `a version is superseded from the publication of its first successor, not of the newest version`() {
        assertTrue(history.recordPublication(1))
        time += 2.seconds
        assertTrue(history.recordPublication(2))
        time += 3.seconds
        assertTrue(history.recordPublication(3))
        time += 4.seconds
        assertEquals(7.seconds, history.timeSinceSuperseded(1))
        assertEquals(4.seconds, history.timeSinceSuperseded(2))
        assertNull(history.timeSinceSuperseded(3))
    }

    @Test
    fun `a process that starts late adopts the greatest age that its peers report`() {
        history.recordPublication(2, 3.seconds)
        assertFalse(history.recordPublication(2, 7.seconds))
        assertEquals(7.seconds, history.timeSinceSuperseded(1))
        history.recordPublication(2, 1.seconds)
        assertEquals(7.seconds, history.timeSinceSuperseded(1))
    }
}
