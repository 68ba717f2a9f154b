package org.celerywalk.http

import org.celerywalk.limits
import org.celerywalk.shortTimeoutLimits
import org.celerywalk.standins.table.TableFaults
import org.celerywalk.standins.table.TableStandIn
import org.celerywalk.table.Condition
import org.celerywalk.table.Record
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import org.celerywalk.table.TransactionResult
import org.celerywalk.table.Write
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class HttpTableTest {
    private val standIn = TableStandIn()
    private val table = HttpTable(standIn.url, limits)
    private val shortTimeoutTable = HttpTable(standIn.url, shortTimeoutLimits)
    private val claim = Transaction(listOf(Condition.Absent("booking/a")), listOf(Write.Put("booking/a", "claimed")))

    @AfterTest
    fun stop() {
        table.close()
        shortTimeoutTable.close()
        standIn.close()
    }

    @Test
    fun `a second transaction under the same condition conflicts and returns the committed record`() {
        assertEquals(TransactionResult.Committed(1), table.transact(claim).get().getOrNull())
        val conflict = table.transact(claim).get().getOrNull()
        assertEquals(TransactionResult.Conflict(mapOf("booking/a" to Record("claimed", 1))), conflict)
    }

    @Test
    fun `a deleted key is absent and its version is not reused`() {
        table.transact(claim).get()
        val release = Transaction(listOf(Condition.VersionIs("booking/a", 1)), listOf(Write.Delete("booking/a")))
        assertEquals(TransactionResult.Committed(2), table.transact(release).get().getOrNull())
        assertEquals(emptyMap(), table.read(setOf("booking/a")).get().getOrNull())
        assertEquals(TransactionResult.Committed(3), table.transact(claim).get().getOrNull())
    }

    @Test
    fun `a scan returns a page in key order after the given key`() {
        val keys = listOf("a/1", "a/2", "a/3", "b/1")
        table.transact(Transaction(emptyList(), keys.map { Write.Put(it, it) })).get()
        val page = table.scan("a/", after = "a/1", limit = 1).get().getOrNull()
        assertEquals(listOf("a/2" to Record("a/2", 1)), page)
    }

    @Test
    fun `a response lost after the commit is reported as an unknown outcome`() {
        standIn.faults = TableFaults(loseAnswers = 1)
        assertIs<TableError.OutcomeUnknown>(table.transact(claim).get().leftOrNull())
        assertEquals("claimed", standIn.value("booking/a"))
    }

    @Test
    fun `a refused transaction is reported as not applied`() {
        standIn.faults = TableFaults(outage = "refuse")
        assertIs<TableError.NotApplied>(table.transact(claim).get().leftOrNull())
        assertNull(standIn.value("booking/a"))
    }

    @Test
    fun `a transaction that times out is reported as an unknown outcome`() {
        standIn.faults = TableFaults(outage = "hang")
        assertIs<TableError.OutcomeUnknown>(shortTimeoutTable.transact(claim).get().leftOrNull())
    }

    @Test
    fun `a transaction on an unreachable table is reported as not applied`() {
        standIn.close()
        assertIs<TableError.NotApplied>(HttpTable(standIn.url, limits).transact(claim).get().leftOrNull())
    }

    @Test
    fun `a call beyond the limit of waiting calls is refused as not applied`() {
        standIn.faults = TableFaults(outage = "hang")
        val calls = List(limits.maxConcurrentCalls + limits.maxQueuedCalls + 1) { table.transact(claim) }
        assertIs<TableError.NotApplied>(calls.last().get().leftOrNull())
    }

    @Test
    fun `a stale read returns an earlier state while a transaction checks the latest state`() {
        table.transact(claim).get()
        standIn.faults = TableFaults(oldReadsMillis = 60_000)
        assertEquals(emptyMap(), table.read(setOf("booking/a")).get().getOrNull())
        assertIs<TransactionResult.Conflict>(table.transact(claim).get().getOrNull())
    }
}
