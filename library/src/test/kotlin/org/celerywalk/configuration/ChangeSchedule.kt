package org.celerywalk.configuration

import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import org.celerywalk.table.FakeTableCall
import org.celerywalk.table.FakeTableFault

/**
 * Runs changes of operators of all teams under generated faults and records what they were told.
 *
 * Operators base their changes on states of different age, send them at the same time to different entries, repeat
 * them with the same id when the answer is lost, and sometimes try to change another team's section. The table loses
 * and delays requests and answers, has outages, and plain reads can be old.
 */
internal class ChangeSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable { call ->
        val old = call == FakeTableCall.READ && simulation.chance(STALE_PERCENT)
        if (old) FakeTableFault.STALE else FakeTableFault.NONE
    }
    private var faulty = true
    private var downUntil = 0L

    /** Last result that each change was told. */
    val told = LinkedHashMap<Change, ChangeResult>()

    /** Changes of sections that their operator does not own. */
    val foreign = HashSet<Change>()

    val head: Head get() = table.record(Head.KEY)?.let { Head.decode(it.value) } ?: Head.NONE

    val audit: List<AuditRecord>
        get() = (0..head.version + 1).mapNotNull { table.record(AuditRecord.key(it)) }
            .map { AuditRecord.decode(it.value) }

    fun section(team: Team): Section = sectionAt(team, head)

    fun run() {
        val first = Team.entries.associateWith { it.let(::emptySection) }
            .plus(Team.SECURITY to SecuritySection(operators = Team.entries.map { operator(it) }))
        val proposals = first.map { (team, section) -> ProposedSection(team, 0, TestCodec.write(section)) }
        send(Change("first", hashOf("none"), true, proposals, "", 0))
        repeat(CHANGES) { simulation.after(simulation.random.nextLong(START, FAULTS_END)) { propose("change$it") } }
        repeat(OUTAGES) {
            simulation.after(simulation.random.nextLong(FAULTS_END)) { downUntil = simulation.now + OUTAGE }
        }
        simulation.after(FAULTS_END) { faulty = false }
        simulation.run(untilMillis = FAULTS_END * 3)
    }

    private fun emptySection(team: Team) = checkNotNull(TestCodec.parse(team, "", "").getOrNull())

    private fun sectionAt(team: Team, head: Head): Section {
        val yaml = head.sections[team]?.let { table.record(sectionKey(team, it))?.value }.orEmpty()
        return checkNotNull(TestCodec.parse(team, yaml, "").getOrNull())
    }

    private fun propose(name: String) {
        val seen = head
        val team = Team.entries.random(simulation.random)
        val target = if (simulation.chance(FOREIGN_PERCENT)) Team.entries.random(simulation.random) else team
        val text = TestCodec.write(sectionAt(target, seen).plus(name))
        val proposal = ProposedSection(target, seen.sections[target] ?: 0, text)
        val change = Change(name, hashOf("token-${team.sectionName}"), false, listOf(proposal), "", simulation.now)
        if (target != team) foreign += change
        // The operator thinks before the change is sent.
        simulation.after(simulation.randomDelayMillis(MOST_THINKING)) { send(change) }
    }

    private fun send(change: Change) {
        val entry = SimulatedTable(
            simulation,
            SimulatedProcess(simulation),
            table,
            { if (faulty) FAULT_PERCENT else 0 },
            { faulty && simulation.now < downUntil },
        )
        ConfigurationChanger(entry, TestCodec).apply(change).thenAccept { result ->
            told[change] = result
            // A repeat, and now and then one that is not needed.
            if (result is ChangeResult.Unavailable || simulation.chance(REPEAT_PERCENT)) {
                simulation.after(simulation.randomDelayMillis(MOST_THINKING)) { send(change) }
            }
        }
    }

    private companion object {
        const val START = 60_000L
        const val FAULTS_END = 180_000L
        const val CHANGES = 30
        const val OUTAGES = 3
        const val OUTAGE = 10_000L
        const val MOST_THINKING = 20_000L
        const val FAULT_PERCENT = 30
        const val STALE_PERCENT = 30
        const val FOREIGN_PERCENT = 20
        const val REPEAT_PERCENT = 10
    }
}
