package org.celerywalk.sync

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.configuration.Change
import org.celerywalk.configuration.ChangeResult
import org.celerywalk.configuration.ClientAccountEntry
import org.celerywalk.configuration.CommercialSection
import org.celerywalk.configuration.ConfigurationChanger
import org.celerywalk.configuration.KeyEntry
import org.celerywalk.configuration.ProposedSection
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.configuration.SnapshotStore
import org.celerywalk.configuration.Team
import org.celerywalk.configuration.TestCodec
import org.celerywalk.configuration.hashOf
import org.celerywalk.configuration.operator
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.key.WithdrawnKeys
import org.celerywalk.key.WithdrawnKeysFreshness
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ListedInstance
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import org.celerywalk.table.FakeTableCall
import org.celerywalk.table.FakeTableFault
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Simulates a small fleet under generated faults: the configuration changes and keys are withdrawn while the table has
 * outages, plain reads are stale, messages are lost, delayed and duplicated, processes restart, and one entry at a time
 * is partitioned from the table, from its peers or from both.
 *
 * Each process loses at most one table call, and each pair of processes at most one message, per
 * [LOSS_INTERVAL_MILLIS], because no propagation within 5 s could be guaranteed under unlimited losses.
 */
internal class FleetSchedule(seed: Long) {
    val simulation = Simulation(seed)
    private val objects = HashMap<String, ByteArray>()
    private val lastLossMillis = HashMap<String, Long>()
    private var partitionedAddress: String? = null
    private var isTableUnreachable = false
    private var arePeersUnreachable = false
    private var outageEndMillis = 0L
    private val isTableDown get() = simulation.nowMillis < outageEndMillis

    // Until this time the process at the address reads from a lagging replica of the table.
    private val lagEndMillis = HashMap<String, Long>()
    private var readingAddress = ""
    private val table = FakeTable { call ->
        val isStale =
            simulation.nowMillis < (lagEndMillis[readingAddress] ?: 0) || simulation.randomBoolean(STALE_PERCENT)
        if (call == FakeTableCall.READ && isStale) FakeTableFault.STALE else FakeTableFault.NONE
    }
    private val processes = (0 until ENTRY_COUNT).map { "entry$it:1" to Role.ENTRY }
        .plus((0 until AGENT_COUNT).map { "agent$it:1" to Role.AGENT })
        .associate { (address, role) -> address to SimulatedInstance(address, role) }
    private val entries = processes.values.filter { it.role == Role.ENTRY }

    /** Commit time of each configuration version. */
    private val committedAtMillis = HashMap<Long, Long>()

    /** Time at which the withdrawal of each key was accepted. */
    private val withdrawnAtMillis = HashMap<String, Long>()

    /** Descriptions of the violated guarantees. */
    val violations = ArrayList<String>()

    /** Number of withdrawals that were accepted during an outage of the table. */
    var withdrawalsWithoutTable = 0

    /** Number of checks that found an entry serving the key that is never withdrawn, with and without the table. */
    var servedChecksWithTable = 0
    var servedChecksWithoutTable = 0

    fun run() {
        apply(entries.first(), FIRST_CHANGE)
        processes.values.forEach { it.start() }
        val random = simulation.random
        repeat(CHANGE_COUNT) { n ->
            simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) {
                apply(reachableInstances(entries).random(random), "account$n")
            }
        }
        KEYS.drop(1).forEach { key ->
            simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) { withdraw(key) }
        }
        repeat(RESTART_COUNT) {
            simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) {
                processes.values.random(random).start()
            }
        }
        repeat(OUTAGE_COUNT) { simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) { startOutage() } }
        repeat(PARTITION_COUNT) {
            simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) { startPartition() }
        }
        repeat(LAG_COUNT) { simulation.schedule(random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) { startLag() } }
        check()
        simulation.run(FAULTS_END_MILLIS + CALM_MILLIS)
        processes.values.forEach { it.checkWithdrawalsCommitted() }
    }

    private fun reachableInstances(instances: List<SimulatedInstance>) =
        instances.filter { it.address != partitionedAddress }

    private fun startOutage() {
        // No outage while an entry reaches the table but no peer: it could not learn of withdrawals that other entries
        // accept during the outage until they are committed to the table.
        if (partitionedAddress != null && !isTableUnreachable) return
        outageEndMillis = simulation.nowMillis + simulation.random.nextLong(MAX_OUTAGE_MILLIS)
    }

    private fun startPartition() {
        val address = entries.random(simulation.random).address
        partitionedAddress = address
        isTableUnreachable =
            simulation.randomBoolean(HALF_PERCENT) || simulation.nowMillis < outageEndMillis + SETTLING_MILLIS
        arePeersUnreachable = !isTableUnreachable || simulation.randomBoolean(HALF_PERCENT)
        simulation.schedule(simulation.random.nextLong(MAX_PARTITION_MILLIS)) {
            if (partitionedAddress == address) partitionedAddress = null
        }
    }

    private fun startLag() {
        val address = processes.keys.random(simulation.random)
        lagEndMillis[address] = simulation.nowMillis + simulation.random.nextLong(MAX_PARTITION_MILLIS)
    }

    private fun apply(instance: SimulatedInstance, name: String) {
        val baseVersion = instance.configuration()?.sectionVersions?.get(Team.COMMERCIAL) ?: 0
        val accounts = instance.configuration()?.commercial?.clientAccounts.orEmpty().ifEmpty { listOf(ACCOUNT) }
        val commercial = CommercialSection(accounts + ClientAccountEntry(name, 1, 1))
        val proposals = listOf(ProposedSection(Team.COMMERCIAL, baseVersion, TestCodec.write(commercial))) +
            if (name == FIRST_CHANGE) {
                listOf(ProposedSection(Team.SECURITY, 0, TestCodec.write(security())))
            } else {
                emptyList()
            }
        val change = Change(name, hashOf("token-commercial"), name == FIRST_CHANGE, proposals, "", simulation.nowMillis)
        ConfigurationChanger(instance.table, TestCodec).apply(change).thenAccept { instance.recordCommit(it) }
    }

    private fun security() =
        SecuritySection(KEYS.map { KeyEntry(it, ACCOUNT.name, hashOf(it)) }, Team.entries.map { operator(it) })

    private fun SimulatedInstance.recordCommit(result: ChangeResult) {
        if (result !is ChangeResult.Applied) return
        committedAtMillis[result.version] = simulation.nowMillis
        synchroniser?.adoptCommitted(result.document)
    }

    /** Withdraws a key by a configuration change only, or also directly in some entries, as the command line does. */
    private fun withdraw(key: String) {
        val isByChangeOnly = !isTableDown && simulation.randomBoolean(HALF_PERCENT)
        val receivers = reachableInstances(entries).filter { it.isServing }.shuffled(simulation.random)
        receivers.take(1 + simulation.random.nextInt(ENTRY_COUNT)).forEach { instance ->
            if (!isByChangeOnly) acceptWithdrawal(key, instance)
            val id = "withdraw $key"
            ConfigurationChanger(instance.table, TestCodec).withdraw(setOf(key), "ren", id, 0).thenAccept {
                if (it is ChangeResult.Applied) withdrawnAtMillis.putIfAbsent(key, simulation.nowMillis)
                instance.recordCommit(it)
            }
        }
    }

    private fun acceptWithdrawal(key: String, instance: SimulatedInstance) {
        if (key !in withdrawnAtMillis && isTableDown) withdrawalsWithoutTable++
        withdrawnAtMillis.putIfAbsent(key, simulation.nowMillis)
        instance.synchroniser?.withdraw(setOf(key))
    }

    private fun check() {
        processes.values.forEach { it.check() }
        simulation.schedule(CHECK_INTERVAL_MILLIS) { check() }
    }

    private fun drawLoss(link: String): Boolean {
        val isDue = simulation.nowMillis - (lastLossMillis[link] ?: -LOSS_INTERVAL_MILLIS) >= LOSS_INTERVAL_MILLIS
        return (isDue && simulation.randomBoolean(LOSS_PERCENT))
            .also { if (it) lastLossMillis[link] = simulation.nowMillis }
    }

    /** Delivers a call with random delays, losses and duplicate requests. A lost call completes with [failure]. */
    private fun <E, T> deliver(
        link: String,
        isReachable: () -> Boolean,
        failure: E,
        body: () -> Either<E, T>,
    ): CompletableFuture<Either<E, T>> {
        val answer = CompletableFuture<Either<E, T>>()
        val isLost = drawLoss(link)
        val isOnlyAnswerLost = simulation.randomBoolean(LOSS_PERCENT)
        simulation.schedule(TIMEOUT_MILLIS) { answer.complete(failure.left()) }
        simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
            if (isReachable() && (!isLost || isOnlyAnswerLost)) {
                val result = body()
                if (simulation.randomBoolean(DUPLICATE_PERCENT)) {
                    simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) { body() }
                }
                if (!isLost) {
                    simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) { answer.complete(result) }
                }
            }
        }
        return answer
    }

    /** An instance with a fixed address, on which processes run one after another. */
    inner class SimulatedInstance(val address: String, val role: Role) {
        private var incarnation = 0
        private var startedAtMillis = 0L
        private var highestVersion = 0L
        private var partitionedAtMillis = 0L
        private var context: SyncContext? = null
        var synchroniser: Synchroniser? = null
        val table: Table = RemoteTable(this)
        val isServing get() = context?.freshness?.isConfirmed() == true

        fun configuration() = synchroniser?.configuration

        fun start() {
            incarnation++
            startedAtMillis = simulation.nowMillis
            highestVersion = 0
            val newContext = createContext()
            context = newContext
            val startedIncarnation = incarnation
            Synchroniser(newContext).let { sync ->
                synchroniser = sync
                listOf(sync::readInstanceList, sync::pollTable, sync::exchangeWithPeers)
                    .forEach { repeatRound(startedIncarnation, it) }
            }
        }

        private fun repeatRound(startedIncarnation: Int, round: () -> Duration) {
            if (startedIncarnation != incarnation) return
            simulation.schedule(round().inWholeMilliseconds) { repeatRound(startedIncarnation, round) }
        }

        private fun createContext(): SyncContext {
            val startedIncarnation = incarnation
            val identity = ProcessIdentity(address, "$incarnation", role, "r", "d", address)
            return SyncContext(
                identity = { identity },
                table = table,
                instances = FakeInstanceList(),
                snapshots = SnapshotStore(InMemoryObjectStore(objects)),
                peers = FakePeerClient(this),
                codec = TestCodec,
                freshness = WithdrawnKeysFreshness(2.hours),
                withdrawnKeys = WithdrawnKeys(),
                settingsPeers = emptyList(),
                time = simulation.timeSource,
                random = simulation.random,
                executor = { simulation.schedule(0) { if (startedIncarnation == incarnation) it.run() } },
                wallClock = { simulation.nowMillis },
                report = {},
            )
        }

        fun check() {
            val now = simulation.nowMillis
            if (address == partitionedAddress) partitionedAtMillis = now
            val version = configuration()?.version ?: 0
            if (version < highestVersion) violations += "$now $address went from version $highestVersion to $version"
            highestVersion = maxOf(highestVersion, version)
            val isSettled = now - maxOf(startedAtMillis, partitionedAtMillis) > DEADLINE_MILLIS
            val minVersion = committedAtMillis.filterValues { now - it > DEADLINE_MILLIS }.keys.maxOrNull() ?: 0
            if (isSettled && version < minVersion) violations += "$now $address has version $version, not $minVersion"
            if (role == Role.ENTRY) checkKeys(now, isSettled)
        }

        fun checkWithdrawalsCommitted() {
            val withdrawnIds = configuration()?.security?.keys.orEmpty().filter { it.withdrawn }.map { it.id }
            val missing = withdrawnAtMillis.keys - withdrawnIds.toSet()
            if (missing.isNotEmpty()) violations += "$address: withdrawals of $missing are not in the configuration"
        }

        private fun checkKeys(now: Long, isSettled: Boolean) {
            KEYS.filter { serves(it) }.forEach { key ->
                val withdrawnMillis = withdrawnAtMillis[key]
                if (withdrawnMillis != null && now - withdrawnMillis > DEADLINE_MILLIS) {
                    violations += "$now $address serves $key, withdrawn at $withdrawnMillis"
                }
            }
            if (address == partitionedAddress || !isSettled) return
            if (serves(KEYS.first())) {
                if (isTableDown) servedChecksWithoutTable++ else servedChecksWithTable++
            }
        }

        private fun serves(key: String): Boolean {
            val currentContext = context ?: return false
            val isDeclared = configuration()?.security?.keys?.any { it.id == key && !it.withdrawn } ?: false
            return currentContext.freshness.isConfirmed() && isDeclared && key !in currentContext.withdrawnKeys
        }
    }

    private inner class RemoteTable(private val instance: SimulatedInstance) : Table {
        override fun read(keys: Set<String>) = call { table.read(keys).join() }

        override fun scan(prefix: String, after: String, limit: Int) = call { table.scan(prefix, after, limit).join() }

        override fun transact(transaction: Transaction) = call { table.transact(transaction).join() }

        private fun <T> call(body: () -> Either<TableError, T>): CompletableFuture<Either<TableError, T>> =
            deliver(
                instance.address,
                { !isTableDown && !(isTableUnreachable && instance.address == partitionedAddress) },
                NO_ANSWER,
            ) {
                readingAddress = instance.address
                body()
            }
    }

    private inner class FakePeerClient(private val instance: SimulatedInstance) : PeerClient {
        override fun exchange(address: String, query: ExchangeQuery) =
            call(address) { it.answerExchange(query) }

        override fun fetchSections(address: String, knownVersions: Map<Team, Long>) =
            call(address) { it.newerSections(knownVersions) }

        private fun <T> call(address: String, body: (Synchroniser) -> T): CompletableFuture<Either<PeerError, T>> {
            val isReachable = {
                val isPartitioned =
                    arePeersUnreachable && (partitionedAddress == address || partitionedAddress == instance.address)
                !isPartitioned && processes[address]?.synchroniser != null
            }
            return deliver("${instance.address} $address", isReachable, PeerError("call", address, "no answer")) {
                body(checkNotNull(processes.getValue(address).synchroniser)).right()
            }
        }
    }

    private inner class FakeInstanceList : InstanceList {
        override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
            CompletableFuture.completedFuture(
                processes.values.map { ListedInstance(it.address, it.role.name, "r", "d", it.address, false) }.right(),
            )
    }

    private companion object {
        val NO_ANSWER: TableError = TableError.OutcomeUnknown("call", "table", "no answer in time")
        val ACCOUNT = ClientAccountEntry("a", 1, 1)
        val KEYS = listOf("kept") + (1..12).map { "withdrawn$it" }
        const val FIRST_CHANGE = "first-change"
        const val ENTRY_COUNT = 4
        const val AGENT_COUNT = 3
        const val CHANGE_COUNT = 12
        const val RESTART_COUNT = 10
        const val OUTAGE_COUNT = 3
        const val PARTITION_COUNT = 8
        const val LAG_COUNT = 10
        const val SETTLING_MILLIS = 10_000L
        const val HALF_PERCENT = 50
        const val START_MILLIS = 10_000L
        const val FAULTS_END_MILLIS = 120_000L
        const val CALM_MILLIS = 50_000L
        const val MAX_OUTAGE_MILLIS = 40_000L
        const val MAX_PARTITION_MILLIS = 20_000L

        // Time within which every reachable process must have adopted a change or withdrawal.
        const val DEADLINE_MILLIS = 5_000L
        const val CHECK_INTERVAL_MILLIS = 100L
        const val TIMEOUT_MILLIS = 1_000L
        const val MAX_DELAY_MILLIS = 400L
        const val LOSS_INTERVAL_MILLIS = 10_000L
        const val LOSS_PERCENT = 20
        const val DUPLICATE_PERCENT = 10
        const val STALE_PERCENT = 30
    }
}
