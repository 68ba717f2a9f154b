package org.celerywalk.configuration

import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import org.celerywalk.table.FakeTableCall
import org.celerywalk.table.FakeTableFault

/**
 * Simulates concurrent configuration changes by operators of all teams under generated faults.
 *
 * Operators base their changes on more or less recent versions, send them concurrently to different entries, retry them
 * with the same change id when the response is lost, and sometimes try to change a section of another team. The table
 * loses and delays requests and responses and has outages, and plain reads can be stale.
 */
internal class ChangeSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable { call ->
        val isStale = call == FakeTableCall.READ && simulation.randomBoolean(STALE_PERCENT)
        if (isStale) FakeTableFault.STALE else FakeTableFault.NONE
    }
    private var isFaulty = true
    private var outageEndMillis = 0L

    /** The last result that the operator of each change received. */
    val results = LinkedHashMap<Change, ChangeResult>()

    /** Changes of a section that the operator's team does not own. */
    val unownedChanges = HashSet<Change>()

    val head: ConfigurationHead
        get() = table.record(ConfigurationHead.KEY)?.let { ConfigurationHead.decode(it.value) }
            ?: ConfigurationHead.EMPTY

    val auditRecords: List<AuditRecord>
        get() = (0..head.version + 1).mapNotNull { table.record(AuditRecord.key(it)) }
            .map { AuditRecord.decode(it.value) }

    fun section(team: Team): Section = sectionAt(team, head)

    fun run() {
        val firstSections = Team.entries.associateWith { it.let(::emptySection) }
            .plus(Team.SECURITY to SecuritySection(operators = Team.entries.map { operator(it) }))
        val proposals = firstSections.map { (team, section) -> ProposedSection(team, 0, TestCodec.write(section)) }
        send(Change("first", hashOf("none"), true, proposals, "", 0))
        repeat(CHANGE_COUNT) {
            simulation.schedule(simulation.random.nextLong(START_MILLIS, FAULTS_END_MILLIS)) { propose("change$it") }
        }
        repeat(OUTAGE_COUNT) {
            simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) {
                outageEndMillis = simulation.nowMillis + OUTAGE_MILLIS
            }
        }
        simulation.schedule(FAULTS_END_MILLIS) { isFaulty = false }
        simulation.run(untilMillis = FAULTS_END_MILLIS * 3)
    }

    private fun emptySection(team: Team) = checkNotNull(TestCodec.parse(team, "", "").getOrNull())

    private fun sectionAt(team: Team, head: ConfigurationHead): Section {
        val yaml = head.sections[team]?.let { table.record(sectionKey(team, it))?.value }.orEmpty()
        return checkNotNull(TestCodec.parse(team, yaml, "").getOrNull())
    }

    private fun propose(name: String) {
        val baseHead = head
        val team = Team.entries.random(simulation.random)
        val target = if (simulation.randomBoolean(UNOWNED_PERCENT)) Team.entries.random(simulation.random) else team
        val text = TestCodec.write(sectionAt(target, baseHead).plus(name))
        val proposal = ProposedSection(target, baseHead.sections[target] ?: 0, text)
        val change =
            Change(name, hashOf("token-${team.sectionName}"), false, listOf(proposal), "", simulation.nowMillis)
        if (target != team) unownedChanges += change
        // Other changes can be committed before the operator sends this one.
        simulation.schedule(simulation.randomDelayMillis(MAX_OPERATOR_DELAY_MILLIS)) { send(change) }
    }

    private fun send(change: Change) {
        val entry = SimulatedTable(
            simulation,
            SimulatedProcess(simulation),
            table,
            { if (isFaulty) FAULT_PERCENT else 0 },
            { isFaulty && simulation.nowMillis < outageEndMillis },
        )
        ConfigurationChanger(entry, TestCodec).apply(change).thenAccept { result ->
            results[change] = result
            // Changes without a known outcome are retried, and at random also some whose outcome is known.
            if (result is ChangeResult.Unavailable || simulation.randomBoolean(RETRY_PERCENT)) {
                simulation.schedule(simulation.randomDelayMillis(MAX_OPERATOR_DELAY_MILLIS)) { send(change) }
            }
        }
    }

    private companion object {
        const val START_MILLIS = 60_000L
        const val FAULTS_END_MILLIS = 180_000L
        const val CHANGE_COUNT = 30
        const val OUTAGE_COUNT = 3
        const val OUTAGE_MILLIS = 10_000L
        const val MAX_OPERATOR_DELAY_MILLIS = 20_000L
        const val FAULT_PERCENT = 30
        const val STALE_PERCENT = 30
        const val UNOWNED_PERCENT = 20
        const val RETRY_PERCENT = 10
    }
}
