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
 * Runs a small fleet under generated faults: the configuration changes and keys are withdrawn while the table has
 * outages, plain reads are old, messages are lost, late and doubled, processes restart, and one entry at a time is cut
 * off from the table, from its peers or from both.
 *
 * Each process loses at most one call of the table, and each pair of processes at most one message, in [LOSS_MILLIS]:
 * with any number of losses nothing could be promised within 5 s.
 */
internal class FleetSchedule(seed: Long) {
    val simulation = Simulation(seed)
    private val objects = HashMap<String, ByteArray>()
    private val lastLoss = HashMap<String, Long>()
    private var cutOff: String? = null
    private var tableCut = false
    private var peersCut = false
    private var downUntil = 0L
    private val isDown get() = simulation.now < downUntil

    // Some processes read from a copy of the table that lags for a while.
    private val laggingUntil = HashMap<String, Long>()
    private var reader = ""
    private val table = FakeTable { call ->
        val old = simulation.now < (laggingUntil[reader] ?: 0) || simulation.chance(STALE_PERCENT)
        if (call == FakeTableCall.READ && old) FakeTableFault.STALE else FakeTableFault.NONE
    }
    private val processes = (0 until ENTRIES).map { "entry$it:1" to Role.ENTRY }
        .plus((0 until AGENTS).map { "agent$it:1" to Role.AGENT })
        .associate { (address, role) -> address to Place(address, role) }
    private val entries = processes.values.filter { it.role == Role.ENTRY }

    /** Time since which each version has been accepted. */
    private val accepted = HashMap<Long, Long>()

    /** Time at which each withdrawal was accepted. */
    private val withdrawnAt = HashMap<String, Long>()

    /** What went against the promises. */
    val violations = ArrayList<String>()

    /** Withdrawals that were accepted while the table was down. */
    var withdrawnWithoutTable = 0

    /** Number of checks at which an entry served the key that is never withdrawn, with and without the table. */
    var servedWithTable = 0
    var servedWithoutTable = 0

    fun run() {
        apply(entries.first(), FIRST)
        processes.values.forEach { it.start() }
        val random = simulation.random
        repeat(CHANGES) { n ->
            simulation.after(random.nextLong(START, END)) { apply(reachable(entries).random(random), "account$n") }
        }
        KEYS.drop(1).forEach { key -> simulation.after(random.nextLong(START, END)) { withdraw(key) } }
        repeat(RESTARTS) {
            simulation.after(random.nextLong(START, END)) { processes.values.random(random).start() }
        }
        repeat(OUTAGES) { simulation.after(random.nextLong(START, END)) { outage() } }
        repeat(CUTS) { simulation.after(random.nextLong(START, END)) { cut() } }
        repeat(LAGS) { simulation.after(random.nextLong(START, END)) { lag() } }
        check()
        simulation.run(END + CALM)
        processes.values.forEach { it.checkRecorded() }
    }

    private fun reachable(places: List<Place>) = places.filter { it.address != cutOff }

    private fun outage() {
        // An entry that reaches the table and no peer could not learn withdrawals between the outage and their record.
        if (cutOff != null && !tableCut) return
        downUntil = simulation.now + simulation.random.nextLong(LONGEST_OUTAGE)
    }

    private fun cut() {
        val address = entries.random(simulation.random).address
        cutOff = address
        tableCut = simulation.chance(HALF) || simulation.now < downUntil + SETTLED
        peersCut = !tableCut || simulation.chance(HALF)
        simulation.after(simulation.random.nextLong(LONGEST_CUT)) { if (cutOff == address) cutOff = null }
    }

    private fun lag() {
        val address = processes.keys.random(simulation.random)
        laggingUntil[address] = simulation.now + simulation.random.nextLong(LONGEST_CUT)
    }

    private fun apply(place: Place, name: String) {
        val head = place.state()?.sectionVersions?.get(Team.COMMERCIAL) ?: 0
        val accounts = place.state()?.commercial?.clientAccounts.orEmpty().ifEmpty { listOf(ACCOUNT) }
        val commercial = CommercialSection(accounts + ClientAccountEntry(name, 1, 1))
        val proposals = listOf(ProposedSection(Team.COMMERCIAL, head, TestCodec.write(commercial))) +
            if (name == FIRST) listOf(ProposedSection(Team.SECURITY, 0, TestCodec.write(security()))) else emptyList()
        val change = Change(name, hashOf("token-commercial"), name == FIRST, proposals, "", simulation.now)
        ConfigurationChanger(place.table, TestCodec).apply(change).thenAccept { place.committed(it) }
    }

    private fun security() =
        SecuritySection(KEYS.map { KeyEntry(it, ACCOUNT.name, hashOf(it)) }, Team.entries.map { operator(it) })

    private fun Place.committed(result: ChangeResult) {
        if (result !is ChangeResult.Applied) return
        accepted[result.version] = simulation.now
        synchroniser?.committed(result.document)
    }

    /** Withdraws a key by a change, or by giving the withdrawal to some entries, as the command does. */
    private fun withdraw(key: String) {
        val byChange = !isDown && simulation.chance(HALF)
        val given = reachable(entries).filter { it.serving }.shuffled(simulation.random)
        given.take(1 + simulation.random.nextInt(ENTRIES)).forEach { place ->
            if (!byChange) accept(key, place)
            val id = "withdraw $key"
            ConfigurationChanger(place.table, TestCodec).withdraw(setOf(key), "ren", id, 0).thenAccept {
                if (it is ChangeResult.Applied) withdrawnAt.putIfAbsent(key, simulation.now)
                place.committed(it)
            }
        }
    }

    private fun accept(key: String, place: Place) {
        if (key !in withdrawnAt && isDown) withdrawnWithoutTable++
        withdrawnAt.putIfAbsent(key, simulation.now)
        place.synchroniser?.withdraw(setOf(key))
    }

    private fun check() {
        processes.values.forEach { it.check() }
        simulation.after(CHECK_INTERVAL) { check() }
    }

    private fun lost(link: String): Boolean {
        val due = simulation.now - (lastLoss[link] ?: -LOSS_MILLIS) >= LOSS_MILLIS
        return (due && simulation.chance(LOSS_PERCENT)).also { if (it) lastLoss[link] = simulation.now }
    }

    /** Delivers a call with delays; a doubled request is executed twice. [give] completes a lost call. */
    private fun <E, T> deliver(
        link: String,
        reachable: () -> Boolean,
        give: E,
        body: () -> Either<E, T>,
    ): CompletableFuture<Either<E, T>> {
        val answer = CompletableFuture<Either<E, T>>()
        val lost = lost(link)
        val lostAnswer = simulation.chance(LOSS_PERCENT)
        simulation.after(TIMEOUT) { answer.complete(give.left()) }
        simulation.after(simulation.randomDelayMillis(LONGEST_DELAY)) {
            if (reachable() && (!lost || lostAnswer)) {
                val result = body()
                if (simulation.chance(DOUBLE_PERCENT)) simulation.after(simulation.randomDelayMillis(LONGEST_DELAY)) { body() }
                if (!lost) simulation.after(simulation.randomDelayMillis(LONGEST_DELAY)) { answer.complete(result) }
            }
        }
        return answer
    }

    /** Models the instance at one address, with one process after another. */
    inner class Place(val address: String, val role: Role) {
        private var incarnation = 0
        private var startedAt = 0L
        private var version = 0L
        private var cutAt = 0L
        private var parts: SyncParts? = null
        var synchroniser: Synchroniser? = null
        val table: Table = RemoteTable(this)
        val serving get() = parts?.freshness?.isConfirmed() == true

        fun state() = synchroniser?.configuration

        fun start() {
            incarnation++
            startedAt = simulation.now
            version = 0
            val own = parts()
            parts = own
            val current = incarnation
            Synchroniser(own).let { sync ->
                synchroniser = sync
                listOf(sync::readInstances, sync::pollTable, sync::exchange).forEach { repeat(current, it) }
            }
        }

        private fun repeat(current: Int, round: () -> Duration) {
            if (current != incarnation) return
            simulation.after(round().inWholeMilliseconds) { repeat(current, round) }
        }

        private fun parts(): SyncParts {
            val current = incarnation
            val identity = ProcessIdentity(address, "$incarnation", role, "r", "d", address)
            return SyncParts(
                identity = { identity },
                table = table,
                instances = Instances(),
                snapshots = SnapshotStore(MapStore(objects)),
                peers = Peers(this),
                codec = TestCodec,
                freshness = WithdrawnKeysFreshness(2.hours),
                withdrawn = WithdrawnKeys(),
                settingsPeers = emptyList(),
                time = simulation.timeSource,
                random = simulation.random,
                duty = { simulation.after(0) { if (current == incarnation) it.run() } },
                wallClock = { simulation.now },
                report = {},
            )
        }

        fun check() {
            val now = simulation.now
            if (address == cutOff) cutAt = now
            val own = state()?.version ?: 0
            if (own < version) violations += "$now $address went from version $version to $own"
            version = maxOf(version, own)
            val settled = now - maxOf(startedAt, cutAt) > PROMISED
            val due = accepted.filterValues { now - it > PROMISED }.keys.maxOrNull() ?: 0
            if (settled && own < due) violations += "$now $address has version $own, $due was accepted"
            if (role == Role.ENTRY) checkKeys(now, settled)
        }

        fun checkRecorded() {
            val marked = state()?.security?.keys.orEmpty().filter { it.withdrawn }.map { it.id }
            val missing = withdrawnAt.keys - marked.toSet()
            if (missing.isNotEmpty()) violations += "$address: withdrawals of $missing are not in the configuration"
        }

        private fun checkKeys(now: Long, settled: Boolean) {
            KEYS.filter { serves(it) }.forEach { key ->
                val at = withdrawnAt[key]
                if (at != null && now - at > PROMISED) violations += "$now $address serves $key, withdrawn at $at"
            }
            if (address == cutOff || !settled) return
            if (serves(KEYS.first())) {
                if (isDown) servedWithoutTable++ else servedWithTable++
            }
        }

        private fun serves(key: String): Boolean {
            val own = parts ?: return false
            val declared = state()?.security?.keys?.any { it.id == key && !it.withdrawn } ?: false
            return own.freshness.isConfirmed() && declared && key !in own.withdrawn
        }
    }

    private inner class RemoteTable(private val place: Place) : Table {
        override fun read(keys: Set<String>) = call { table.read(keys).join() }

        override fun scan(prefix: String, after: String, limit: Int) = call { table.scan(prefix, after, limit).join() }

        override fun transact(transaction: Transaction) = call { table.transact(transaction).join() }

        private fun <T> call(body: () -> Either<TableError, T>): CompletableFuture<Either<TableError, T>> =
            deliver(place.address, { !isDown && !(tableCut && place.address == cutOff) }, LOST) {
                reader = place.address
                body()
            }
    }

    private inner class Peers(private val place: Place) : PeerClient {
        override fun exchange(address: String, question: ExchangeQuestion) =
            call(address) { it.answer(question) }

        override fun sections(address: String, have: Map<Team, Long>) =
            call(address) { it.newerSections(have) }

        private fun <T> call(address: String, body: (Synchroniser) -> T): CompletableFuture<Either<PeerError, T>> {
            val reachable = {
                val cut = peersCut && (cutOff == address || cutOff == place.address)
                !cut && processes[address]?.synchroniser != null
            }
            return deliver("${place.address} $address", reachable, PeerError("call", address, "no answer")) {
                body(checkNotNull(processes.getValue(address).synchroniser)).right()
            }
        }
    }

    private inner class Instances : InstanceList {
        override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
            CompletableFuture.completedFuture(
                processes.values.map { ListedInstance(it.address, it.role.name, "r", "d", it.address, false) }.right(),
            )
    }

    private companion object {
        val LOST: TableError = TableError.OutcomeUnknown("call", "table", "no answer in time")
        val ACCOUNT = ClientAccountEntry("a", 1, 1)
        val KEYS = listOf("kept") + (1..12).map { "withdrawn$it" }
        const val FIRST = "first-change"
        const val ENTRIES = 4
        const val AGENTS = 3
        const val CHANGES = 12
        const val RESTARTS = 10
        const val OUTAGES = 3
        const val CUTS = 8
        const val LAGS = 10
        const val SETTLED = 10_000L
        const val HALF = 50
        const val START = 10_000L
        const val END = 120_000L
        const val CALM = 50_000L
        const val LONGEST_OUTAGE = 40_000L
        const val LONGEST_CUT = 20_000L
        const val PROMISED = 5_000L
        const val CHECK_INTERVAL = 100L
        const val TIMEOUT = 1_000L
        const val LONGEST_DELAY = 400L
        const val LOSS_MILLIS = 10_000L
        const val LOSS_PERCENT = 20
        const val DOUBLE_PERCENT = 10
        const val STALE_PERCENT = 30
    }
}
