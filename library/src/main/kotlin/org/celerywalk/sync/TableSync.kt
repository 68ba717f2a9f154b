package org.celerywalk.sync

import org.celerywalk.configuration.ConfigurationChanger
import org.celerywalk.configuration.ConfigurationHead
import org.celerywalk.configuration.ConfigurationTable
import org.celerywalk.instance.Backoff
import org.celerywalk.instance.Role
import org.celerywalk.table.TableError
import java.util.UUID
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Polls the configuration from the table. All functions are called on the executor of [SyncContext]. */
internal class TableSync(private val context: SyncContext, private val adoption: ConfigurationAdoption) {
    private val reader = ConfigurationTable(context.table)
    private val changer = ConfigurationChanger(context.table, context.codec)
    private val backoff = Backoff(POLL_INTERVAL, MAX_POLL_INTERVAL, context.random)
    private var isPolling = false
    private var isCommittingWithdrawals = false
    private var failures = 0
    private var isLoadingSnapshot = false

    /** Starts a poll unless one is running and returns the delay until the next poll. */
    fun poll(): Duration {
        if (!isPolling) {
            isPolling = true
            val asOf = context.time.markNow()
            val isLatest = needsLatestHead()
            val head = if (isLatest) reader.readLatestHead() else reader.readHead()
            head.whenCompleteAsync(
                { result, _ -> result.fold(::handleFailure) { applyHead(it, asOf, isLatest) } },
                context.executor,
            )
        }
        // The first failure does not lengthen the delay, so that a change is in force within 5 s after one lost answer.
        return backoff.nextDelay(failures - 1)
    }

    /**
     * Returns true if the next read has to see the last commit, which costs a transaction.
     *
     * A plain read may be stale and cannot confirm the set of withdrawn keys. Entries need a confirmation within 5 s.
     * Agents need one at the start and then rarely; in between, plain reads and peers keep them up to date.
     */
    private fun needsLatestHead(): Boolean {
        val age = context.freshness.tableAge
        val maxAge = if (context.identity().role == Role.ENTRY) ENTRY_MAX_TABLE_AGE else AGENT_MAX_TABLE_AGE
        return age == null || age >= maxAge
    }

    private fun applyHead(head: ConfigurationHead, asOf: ComparableTimeMark, isLatest: Boolean) {
        context.freshness.recordTableCall(true)
        if (head.version <= context.state.document.version) return finishPoll(head, asOf, isLatest)
        reader.readDocument(head, context.state.document).whenCompleteAsync({ result, _ ->
            result.fold(::handleFailure) {
                adoption.adopt(it)
                finishPoll(head, asOf, isLatest)
            }
        }, context.executor)
    }

    private fun finishPoll(head: ConfigurationHead, asOf: ComparableTimeMark, isLatest: Boolean) {
        isPolling = false
        failures = 0
        // A version that is not in force does not confirm, because its withdrawals are not known here.
        if (isLatest && context.state.document.version >= head.version) context.freshness.recordTableConfirmation(asOf)
        commitWithdrawals()
    }

    private fun handleFailure(error: TableError) {
        isPolling = false
        failures++
        context.freshness.recordTableCall(false)
        if (failures == 1) context.report("event=table_unavailable step=\"${error.step}\" message=\"${error.message}\"")
        if (context.state.configuration == null && context.freshness.isStartupComplete) loadSnapshot()
    }

    private fun loadSnapshot() {
        if (isLoadingSnapshot) return
        isLoadingSnapshot = true
        context.snapshots.load().whenCompleteAsync({ result, _ ->
            isLoadingSnapshot = false
            result.getOrNull()?.let { adoption.adopt(it) }
        }, context.executor)
    }

    /**
     * Commits externally withdrawn keys to the configuration.
     *
     * One commit by any entry is enough, so each entry tries only after a fraction of its polls.
     */
    private fun commitWithdrawals() {
        val ids = context.state.configuration?.let { context.withdrawnKeys.unrecordedIds(it) }.orEmpty()
        val isDue = ids.isNotEmpty() && context.identity().role == Role.ENTRY && !isCommittingWithdrawals
        if (!isDue || context.random.nextDouble() >= COMMIT_PROBABILITY) return
        isCommittingWithdrawals = true
        val changeId = "withdrawal-${UUID(context.random.nextLong(), context.random.nextLong())}"
        changer.withdraw(ids, "celerywalk", changeId, context.wallClock()).whenCompleteAsync({ result, _ ->
            isCommittingWithdrawals = false
            context.report("event=withdrawals_recorded keys=${ids.size} result=${result.wireName}")
        }, context.executor)
    }

    private companion object {
        // Backoff draws each delay between half and the whole of this value: about one poll per second on average.
        val POLL_INTERVAL = 1_250.milliseconds
        val MAX_POLL_INTERVAL = 2.seconds

        // Age of the applied table state after which an entry or an agent reads the last commit.
        val ENTRY_MAX_TABLE_AGE = 1_500.milliseconds
        val AGENT_MAX_TABLE_AGE = 30.seconds
        const val COMMIT_PROBABILITY = 0.25
    }
}
