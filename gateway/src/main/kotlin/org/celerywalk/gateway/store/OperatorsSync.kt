package org.celerywalk.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.PeriodicTask
import org.celerywalk.gateway.rollout.readOrder
import org.celerywalk.platform.wire.CallError
import org.celerywalk.platform.wire.FleetDocument
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.platform.wire.StoredRow
import org.celerywalk.table.RewrittenContent
import java.util.zip.CRC32
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the configuration and the announced weights in sync with the operators' table of the platform's store.
 *
 * The table is read as a whole once. From then on the store's feed sends each row that has changed and, by an answer
 * without rows, confirms the others, so that a large configuration is transferred only when it has changed.
 *
 * If the store comes back from an older copy, the table is read again. The configuration in force stays until the store
 * has a newer one, and only a read from which on operators have written again what the copy lacks confirms it.
 */
internal class OperatorsSync(
    private val state: FleetState,
    private val table: PlatformTable,
    private val reachability: StoreReachability,
    private val log: EventLog,
    private val events: StoreEvents,
) : AutoCloseable {
    private val task = PeriodicTask("store-operators", { nextDelay }, log, ::followOperators)
    private val schedule = StorePollSchedule(state, events)

    /** A read of the table, sent at [sentAt], when peers had reported configuration [peerVersion] to be in force. */
    private inner class Read(val position: Position) {
        val sentAt = state.timeSource.markNow()
        val peerVersion = state.newestPeerConfigurationVersion

        /** Confirms the configuration in force as of [confirmedAt] if the read shows all that operators had written. */
        fun confirm(confirmedAt: ComparableTimeMark) {
            if (position !== this@OperatorsSync.position) return
            val version = state.activeConfiguration?.configuration?.version ?: 0
            val isCurrent = !position.isConfigurationOlder && version >= peerVersion
            if (position.knownVersion != null && isCurrent && position.isComplete(confirmedAt)) {
                state.confirmation.confirm(confirmedAt)
                rewrittenConfiguration.recordSettled()
            }
            if (position.isRewritingOver(confirmedAt)) position.hasShownRewriting = true
        }
    }

    /** What this gateway has read of the table in one era of the store. */
    private inner class Position {
        // Version of the newest known row, or null if the rows have to be read as a whole. It does not advance without
        // a row, so that no change is skipped that the feed has not reported.
        var knownVersion: Long? = null
        val appliedVersions = HashMap<String, Long>()

        /** True if the table has an older configuration than the one in force, or may have. */
        var isConfigurationOlder = state.activeConfiguration != null

        /** True if operators have written the configuration in force again since the store came back. */
        var isConfigurationRewritten = false

        /** True if a read has shown all that operators have written again. */
        var hasShownRewriting = false

        private val mayLackChanges: Boolean get() = table.era.mayBeRestored && !isConfigurationRewritten

        /**
         * True if the table has to be read as a whole to see whether operators have written all again: by the feed, it
         * is known later by [MAX_FEED_LAG].
         */
        val isRewritingUnread: Boolean
            get() = !isConfigurationOlder && !isConfigurationRewritten && !hasShownRewriting &&
                timeUntilComplete <= Duration.ZERO

        /** Time until a read shows all that operators have written; zero or less if it does now. */
        val timeUntilComplete: Duration
            get() = if (mayLackChanges) REWRITE_TIME - table.era.servingFor else Duration.ZERO

        /** Returns true if the table had at [time] all configurations that operators had written by then. */
        fun isComplete(time: ComparableTimeMark): Boolean = isConfigurationRewritten || isRewritingOver(time)

        /** Returns true if operators had by [time] written again what the store has lost. */
        fun isRewritingOver(time: ComparableTimeMark): Boolean =
            !table.era.mayBeRestored || table.era.servingFor - time.elapsedNow() >= REWRITE_TIME
    }

    private val position by table.era.scoped { Position() }
    private var nextDelay = FEED_DELAY
    private val rewrittenConfiguration = RewrittenContent(table.era)

    @Volatile
    private var lastReadAt: ComparableTimeMark? = null

    /** Time since this process itself has read the table, infinite before its first read. */
    val timeSinceRead: Duration get() = lastReadAt?.elapsedNow() ?: Duration.INFINITE

    fun start() {
        task.start()
    }

    override fun close() {
        task.close()
    }

    /** Reads the table soon, since a peer has read something newer in it. */
    fun readSoon() {
        if (schedule.requestPoll() && timeSinceRead > FOLLOWER_CHECK_INTERVAL) task.runSoon()
    }

    private fun followOperators() {
        val current = position
        val version = current.knownVersion
        if (version != null && !schedule.isPollDue) {
            nextDelay = FOLLOWER_CHECK_INTERVAL
            return
        }
        val outcome =
            if (version == null || current.isRewritingUnread) readAll(current) else awaitChange(current, version)
        if (outcome.isRight()) schedule.recordPoll()
        if (state.activeConfiguration != null) state.startupGate.markConfigurationLoaded()
        val mustReadAgain = outcome.isLeft() || current.knownVersion == null
        val hasEraEnded = current !== position
        nextDelay = if (mustReadAgain && !hasEraEnded) ERROR_DELAY else FEED_DELAY
    }

    private fun readAll(position: Position): Either<CallError, Unit> {
        val read = Read(position)
        return table.read(OPERATORS_TABLE, TRANSFER_TIMEOUT, MAX_READ_SILENCE)
            .onLeft(reachability::recordFailure)
            .map { reading ->
                onRead(read, reading.rows, reading.storeVersion)
                read.confirm(confirmedAt = read.sentAt)
            }
    }

    private fun awaitChange(position: Position, version: Long): Either<CallError, Unit> {
        val read = Read(position)
        val maxWait = position.timeUntilComplete.takeIf { it > Duration.ZERO } ?: schedule.feedWait
        return table.awaitChange(OPERATORS_TABLE, version, minOf(maxWait, schedule.feedWait), TRANSFER_TIMEOUT).fold(
            { error ->
                position.knownVersion = version.takeIf { error.status != PlatformTable.HISTORY_GONE }
                if (position.knownVersion == null) {
                    readAll(position)
                } else {
                    error.left().also { reachability.recordFailure(error) }
                }
            },
            { changes ->
                changes.newestVersion?.let {
                    log.write("store_changed", "table" to OPERATORS_TABLE, "version" to it)
                }
                val newestVersion = maxOf(version, changes.newestVersion ?: version)
                onRead(read, changes.rows, newestVersion)
                read.confirm(confirmedAt = read.sentAt - MAX_FEED_LAG)
                Unit.right()
            },
        )
    }

    private fun onRead(read: Read, rows: List<StoredRow>, version: Long) {
        val position = read.position
        reachability.recordAnswer()
        lastReadAt = state.timeSource.markNow()
        val areAllApplied =
            rows.filter { position.appliedVersions[it.key] != it.version }.map { applyRow(read, it) }.all { it }
        position.knownVersion = version.takeIf { areAllApplied }
    }

    // Returns false if the row was not applied.
    private fun applyRow(read: Read, row: StoredRow): Boolean {
        val isApplied = when {
            row.key == CONFIGURATION_KEY -> applyConfiguration(read, row)
            row.key.startsWith(WEIGHTS_PREFIX) -> true.also { applyWeights(row) }
            row.key.startsWith(RolloutDocument.KEY_PREFIX) -> true.also {
                state.rollouts?.readOrder(row, table.era.number, log)
            }
            else -> true
        }
        if (isApplied) read.position.appliedVersions[row.key] = row.version
        return isApplied
    }

    private fun applyConfiguration(read: Read, row: StoredRow): Boolean {
        val position = read.position
        val configuration =
            FleetDocument.decodeConfiguration(row.value) ?: return false.also { log.writeUnreadable(row) }
        val checksum = CRC32().apply { update(row.value) }.value
        val active = state.activeConfiguration
        // The older copy may hold the first content of a version that was given out again.
        val isOutdated = !position.isComplete(read.sentAt) &&
            active?.configuration?.version == configuration.version && active.checksum != checksum
        val isAdopted = !isOutdated && state.adopt(configuration, checksum)
        if (isAdopted) {
            log.write(
                "configuration_adopted",
                "version" to configuration.version,
                "routes" to configuration.routes.size,
                "accounts" to configuration.accounts?.size,
            )
            events.onChange()
        }
        val activeVersion = state.activeConfiguration?.configuration?.version ?: configuration.version
        position.isConfigurationOlder = configuration.version < activeVersion
        if (configuration.version == activeVersion && !isOutdated) {
            if (isAdopted) {
                val isFirstWrite = position.hasShownRewriting || !table.era.mayBeRestored
                rewrittenConfiguration.recordContent(row.version, isFirstWrite)
            } else if (rewrittenConfiguration.recordSameContent(row.version)) {
                position.isConfigurationRewritten = true
            }
        }
        return !isOutdated
    }

    // An unreadable announcement counts as applied: it names no weights, and reading it again would not change that.
    private fun applyWeights(row: StoredRow) {
        val weights = FleetDocument.decodeTargetWeights(row.value) ?: return log.writeUnreadable(row)
        if (state.recordWeights(weights)) {
            log.write("weights_named", "model" to weights.model, "version" to weights.version)
            events.onChange()
            events.onNewWeights()
        }
    }

    private companion object {
        const val OPERATORS_TABLE = "op"
        const val CONFIGURATION_KEY = "config"
        const val WEIGHTS_PREFIX = "version/"
        val MAX_READ_SILENCE = 900.milliseconds

        // A table of 1 MB takes this long at 1.3 Mbit/s. A transfer that proceeds is not given up sooner, since the
        // next one would have to start anew.
        val TRANSFER_TIMEOUT = 6.seconds

        // Before the store reports that its history is gone, its feed may be silent about changes for a second.
        val MAX_FEED_LAG = 1.seconds
        val FEED_DELAY = 100.milliseconds
        val FOLLOWER_CHECK_INTERVAL = 200.milliseconds

        // The platform gives this time for the entries of endpoints; operators are taken to be as fast.
        val REWRITE_TIME = 2.seconds

        // Limits the rate of calls during an outage: a refused call costs the store as much as a successful one.
        val ERROR_DELAY = 1.seconds
    }
}
