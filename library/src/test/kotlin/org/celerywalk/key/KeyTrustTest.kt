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
class KeyTrustTest {
    private val time = TestTimeSource()
    private val trust = KeyTrust(keyMaxAge = 2.hours)

    @Test
    fun `a process without table and peers stops serving after 5 s`() {
        start()
        time += 4.seconds
        assertTrue(trust.isConfirmed())
        time += 1.seconds
        assertFalse(trust.isConfirmed())
    }

    @Test
    fun `two peers confirm while the table does not answer, until keyMaxAge`() {
        start()
        time += 90.minutes
        trust.confirmedByPeer("a", time.markNow())
        assertFalse(trust.isConfirmed(), "one of two required peers confirmed")
        trust.confirmedByPeer("b", time.markNow())
        assertFalse(trust.isConfirmed(), "the confirmation lapsed and the entries were not queried again")
        trust.startFinished()
        assertTrue(trust.isConfirmed())
        trust.tableAnswered(true)
        assertFalse(trust.isConfirmed(), "peers count only while the table does not answer")
        trust.tableAnswered(false)
        time += 30.minutes
        listOf("a", "b").forEach { trust.confirmedByPeer(it, time.markNow()) }
        trust.startFinished()
        assertFalse(trust.isConfirmed(), "the table was last read $TABLE_STATE_AGE ago")
    }

    @Test
    fun `a late answer confirms only the state at the time of the query`() {
        val queriedAt = time.markNow()
        start()
        time += 6.seconds
        trust.confirmedByTable(queriedAt)
        assertFalse(trust.isConfirmed())
    }

    @Test
    fun `peers do not confirm a process that has never known the state of the table`() {
        trust.startFinished()
        trust.othersKnown(2)
        listOf("a", "b").forEach { trust.confirmedByPeer(it, time.markNow()) }
        assertFalse(trust.isConfirmed())
    }

    private fun start() {
        trust.othersKnown(2)
        trust.confirmedByTable(time.markNow())
        assertFalse(trust.isConfirmed(), "entries were not yet queried for withdrawn keys")
        trust.startFinished()
    }

    private companion object {
        const val TABLE_STATE_AGE = "2 h"
    }
}
