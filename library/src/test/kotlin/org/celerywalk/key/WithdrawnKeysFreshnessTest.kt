package org.celerywalk.key

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against serving requests with withdrawn keys: a process may have missed a withdrawal unless the table or
 * enough peers confirm its state.
 */
class WithdrawnKeysFreshnessTest {
    private val time = TestTimeSource()
    private val freshness = WithdrawnKeysFreshness(keyMaxAge = 2.hours)

    @Test
    fun `a process without table and peers stops serving after 5 s`() {
        start()
        time += 4.seconds
        assertTrue(freshness.isConfirmed())
        time += 1.seconds
        assertFalse(freshness.isConfirmed())
    }

    @Test
    fun `two peers confirm while the table does not answer, until the maximum age of the table state`() {
        start()
        time += 90.minutes
        freshness.recordPeerConfirmation("a", time.markNow())
        assertFalse(freshness.isConfirmed(), "one of two required peers confirmed")
        freshness.recordPeerConfirmation("b", time.markNow())
        assertFalse(freshness.isConfirmed(), "the confirmation lapsed and the entries were not queried again")
        freshness.recordStartupComplete()
        assertTrue(freshness.isConfirmed())
        freshness.recordTableCall(true)
        assertFalse(freshness.isConfirmed(), "peers count only while the table does not answer")
        freshness.recordTableCall(false)
        time += 30.minutes
        listOf("a", "b").forEach { freshness.recordPeerConfirmation(it, time.markNow()) }
        freshness.recordStartupComplete()
        assertFalse(freshness.isConfirmed(), "the table was last read $TABLE_STATE_AGE ago")
    }

    @Test
    fun `a late answer confirms only the state at the time of the query`() {
        val queriedAt = time.markNow()
        start()
        time += 6.seconds
        freshness.recordTableConfirmation(queriedAt)
        assertFalse(freshness.isConfirmed())
    }

    @Test
    fun `peers do not confirm a process that has never known the state of the table`() {
        freshness.recordStartupComplete()
        freshness.recordOtherProcesses(2)
        listOf("a", "b").forEach { freshness.recordPeerConfirmation(it, time.markNow()) }
        assertFalse(freshness.isConfirmed())
    }

    private fun start() {
        freshness.recordOtherProcesses(2)
        freshness.recordTableConfirmation(time.markNow())
        assertFalse(freshness.isConfirmed(), "entries were not yet queried for withdrawn keys")
        freshness.recordStartupComplete()
    }

    private companion object {
        const val TABLE_STATE_AGE = "2 h"
    }
}
