package org.celerywalk.cache

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against cache events that are missed when another instance reads and reports them. */
class CacheEventCursorTest {
    private val time = TestTimeSource()
    private val cursor = CacheEventCursor(time, maxReportAge = 3.seconds)

    @Test
    fun `the history is read before reports are taken`() {
        assertTrue(cursor.needsRead)
        assertFalse(cursor.advanceByReport(events(0, 5)))
        assertTrue(cursor.advance(events(0, 5)), "the first read starts an epoch")
        assertFalse(cursor.needsRead)
    }

    @Test
    fun `reports that continue the events are applied once`() {
        cursor.advance(events(0, 5))
        assertTrue(cursor.advanceByReport(events(5, 8)))
        assertFalse(cursor.advanceByReport(events(5, 8)), "a second reader reports the same events")
        assertTrue(cursor.advanceByReport(events(6, 9)), "the report overlaps with known events")
        assertEquals(9, cursor.nextSequence)
        assertFalse(cursor.needsRead)
    }

    @Test
    fun `a lost report makes this process read the events from where it was`() {
        cursor.advance(events(0, 5))
        assertFalse(cursor.advanceByReport(events(7, 9)))
        assertTrue(cursor.needsRead)
        assertEquals(5, cursor.nextSequence)
        assertFalse(cursor.advanceByReport(events(5, 7)), "the events are being read")
        cursor.advance(events(5, 9))
        assertTrue(cursor.advanceByReport(events(9, 10)))
    }

    @Test
    fun `a position of the reader shows that the last report was lost`() {
        cursor.advance(events(0, 5))
        cursor.advanceByReport(events(5, 5))
        assertFalse(cursor.needsRead)
        cursor.advanceByReport(events(6, 6))
        assertTrue(cursor.needsRead)
    }

    @Test
    fun `a restarted cache and a reader that is silent make this process read`() {
        cursor.advance(events(0, 5))
        assertFalse(cursor.advanceByReport(events(5, 6, epoch = 2)))
        assertTrue(cursor.needsRead)
        assertTrue(cursor.advance(events(5, 2, epoch = 2)))
        assertEquals(2, cursor.nextSequence)
        time += 4.seconds
        assertTrue(cursor.needsRead)
    }

    @Test
    fun `consecutive events are joined and a gap starts anew`() {
        val event = CacheEvent("s", "a", 1)
        val first = CacheEvents(1, 0, 2, listOf(event))
        assertEquals(CacheEvents(1, 0, 3, listOf(event, event)), first.followedBy(CacheEvents(1, 2, 3, listOf(event))))
        val later = CacheEvents(1, 5, 6, listOf(event))
        assertEquals(later, first.followedBy(later))
    }

    private fun events(first: Long, next: Long, epoch: Long = 1) = CacheEvents(epoch, first, next, emptyList())
}
