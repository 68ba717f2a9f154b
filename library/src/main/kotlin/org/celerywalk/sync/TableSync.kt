package org.celerywalk.sync

import org.celerywalk.configuration.ConfigurationChanger
import org.celerywalk.configuration.ConfigurationTable
import org.celerywalk.configuration.Head
import org.celerywalk.instance.Backoff
import org.celerywalk.instance.Role
import org.celerywalk.table.TableError
import java.util.UUID
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the configuration in the table. All functions run on the duty's thread. */
internal class TableSync(private val parts: SyncParts, private val adoption: Adoption) {
    private val reader = ConfigurationTable(parts.table)
    private val changer = ConfigurationChanger(parts.table, parts.codec)
    private val backoff = Backoff(POLL_INTERVAL, LONGEST_POLL_INTERVAL, parts.random)
    private var polling = false
    private var merging = false
    private var failures = 0
    private var loadingSnapshot = false

    /** Starts a poll and returns the time until the next one. */
    fun poll(): Duration {
        if (!polling) {
            polling = true
            val asOf = parts.time.markNow()
            val newest = needsNewest()
            val head = if (newest) reader.newestHead() else reader.head()
            head.whenCompleteAsync({ result, _ -> result.fold(::failed) { follow(it, asOf, newest) } }, parts.duty)
        }
        // One lost answer is repeated without a longer wait, so that a change is in force within 5 s.
        return backoff.nextDelay(failures - 1)
    }

    /**
     * Decides whether the next read has to see the last commit, which costs a transaction.
     *
     * A plain read may be old and cannot confirm keys. Entries need a confirmation within 5 s; other processes do it
     * once at the start and learn the rest from plain reads and peers.
     */
    private fun needsNewest(): Boolean {
        val age = parts.freshness.tableAge
        val longest = if (parts.identity().role == Role.ENTRY) ENTRY_CONFIRMATION else AGENT_CONFIRMATION
        return age == null || age >= longest
    }

    private fun follow(head: Head, asOf: ComparableTimeMark, newest: Boolean) {
        parts.freshness.recordTableCall(true)
        if (head.version <= parts.state.document.version) return followed(head, asOf, newest)
        reader.document(head, parts.state.document).whenCompleteAsync({ result, _ ->
            result.fold(::failed) {
                adoption.adopt(it)
                followed(head, asOf, newest)
            }
        }, parts.duty)
    }

    private fun followed(head: Head, asOf: ComparableTimeMark, newest: Boolean) {
        polling = false
        failures = 0
        // Only a version that is in force confirms: its withdrawals are known here.
        if (newest && parts.state.document.version >= head.version) parts.freshness.confirmedByTable(asOf)
        recordWithdrawals()
    }

    private fun failed(error: TableError) {
        polling = false
        failures++
        parts.freshness.recordTableCall(false)
        if (failures == 1) parts.report("event=table_unavailable step=\"${error.step}\" message=\"${error.message}\"")
        if (parts.state.configuration == null && parts.freshness.started) loadSnapshot()
    }

    private fun loadSnapshot() {
        if (loadingSnapshot) return
        loadingSnapshot = true
        parts.snapshots.load().whenCompleteAsync({ result, _ ->
            loadingSnapshot = false
            result.getOrNull()?.let { adoption.adopt(it) }
        }, parts.duty)
    }

    /** Writes withdrawn keys into the configuration; one entry is enough, so each tries only now and then. */
    private fun recordWithdrawals() {
        val ids = parts.state.configuration?.let { parts.withdrawn.notRecorded(it) }.orEmpty()
        val due = ids.isNotEmpty() && parts.identity().role == Role.ENTRY && !merging
        if (!due || parts.random.nextDouble() >= RECORD_PROBABILITY) return
        merging = true
        val changeId = "withdrawal-${UUID(parts.random.nextLong(), parts.random.nextLong())}"
        changer.withdraw(ids, "celerywalk", changeId, parts.wallClock()).whenCompleteAsync({ result, _ ->
            merging = false
            parts.report("event=withdrawals_recorded keys=${ids.size} result=${result.wireName}")
        }, parts.duty)
    }

    private companion object {
        // Waits are drawn from half of this to the whole, about once a second on average.
        val POLL_INTERVAL = 1_250.milliseconds
        val LONGEST_POLL_INTERVAL = 2.seconds
        val ENTRY_CONFIRMATION = 1_500.milliseconds
        val AGENT_CONFIRMATION = 30.seconds
        const val RECORD_PROBABILITY = 0.25
    }
}
