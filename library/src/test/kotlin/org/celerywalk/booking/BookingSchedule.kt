package org.celerywalk.booking

import org.celerywalk.error.Execution
import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import java.util.concurrent.CompletableFuture

/**
 * Runs bookings under a generated schedule of faults and records what was executed and what was told.
 *
 * Two incarnations own the endpoint at the same time. Callers repeat bookings through several entries, with late and
 * doubled messages; agents are paused, killed and replaced, their clocks differ and jump, and the table has outages of
 * seconds and minutes.
 */
internal class BookingSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable()
    private var faulty = true
    private var downUntil = 0L
    private val agents = ArrayList<Agent>()
    private val attempts = ArrayList<BookingAttempt>()
    private val keys = (1..KEYS).map { BookingKey("account", "swaps", "key $it") }

    /** Attempts in the order of their execution. */
    val executed = ArrayList<BookingAttempt>()

    /** Attempts that were told `NOT_RUN`. */
    val notRun = HashSet<BookingAttempt>()

    /** Attempts that were executed after their expiry on the clock of their agent. */
    val startedLate = ArrayList<BookingAttempt>()

    /** Answers with the digests of the requests that got them. */
    val answers = ArrayList<Pair<BookingAttempt, String>>()

    /** Claims of live agents that are left although no call of theirs is under way. */
    val abandonedClaims: List<String>
        get() = keys.mapNotNull { table.record(it.tableKey) }
            .map { BookingRecord.decode(it.value).state }
            .filterIsInstance<BookingState.Claimed>()
            .filter { claim -> agents.any { it.process.isAlive && it.incarnation == claim.agentIncarnation } }
            .map { it.attemptId }

    fun run() {
        repeat(2) { startAgent() }
        repeat(ATTEMPTS) { simulation.after(simulation.random.nextLong(FAULTS_END)) { sendAttempt(it) } }
        repeat(FAULTS) { simulation.after(simulation.random.nextLong(FAULTS_END)) { fault() } }
        simulation.after(FAULTS_END) { faulty = false }
        simulation.run(untilMillis = FAULTS_END * 2)
    }

    private fun startAgent() {
        val process = SimulatedProcess(simulation)
        val client = SimulatedTable(
            simulation,
            process,
            table,
            { if (faulty) FAULT_PERCENT else 0 },
            { faulty && simulation.now < downUntil },
        )
        val agent = Agent(process, "incarnation ${agents.size}", client)
        agents += agent
        resolve(agent)
    }

    private fun resolve(agent: Agent): Unit = agent.process.after(PERIOD) {
        agent.bookings.resolvePending()
        resolve(agent)
    }

    private fun fault() {
        val agent = agents.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KINDS)) {
            0 -> agent.process.pause(simulation.randomDelayMillis(OUTAGE))
            1 -> {
                agent.process.isAlive = false
                startAgent()
            }
            2 -> agent.skew = simulation.random.nextLong(-SKEW, SKEW)
            else -> downUntil = simulation.now + simulation.randomDelayMillis(OUTAGE)
        }
    }

    private fun sendAttempt(number: Int) {
        val addressed = agents.takeLast(2).random(simulation.random)
        val digest = if (simulation.chance(RARE)) "other" else "digest"
        val attempt = BookingAttempt(
            keys.random(simulation.random),
            "attempt$number",
            addressed.incarnation,
            digest,
            simulation.now + simulation.random.nextLong(LIFETIME),
        )
        attempts += attempt
        val copies = if (simulation.chance(RARE)) 2 else 1
        repeat(copies) {
            // The address may belong to another incarnation by now.
            val receiver = if (simulation.chance(RARE)) agents.random(simulation.random) else addressed
            receiver.process.after(simulation.randomDelayMillis(LATE)) { receiver.run(attempt) }
        }
        if (simulation.chance(COMMON)) barLater(attempt, addressed)
    }

    private fun barLater(attempt: BookingAttempt, agent: Agent) {
        agent.process.after(simulation.randomDelayMillis(LATE)) {
            val execution = agent.bookings.bar(attempt.attemptId, attempt.agentIncarnation, attempt.expiresAtMillis)
            if (execution == Execution.NOT_RUN) notRun += attempt
        }
        val other = agents.random(simulation.random)
        if (simulation.chance(COMMON)) other.process.after(simulation.randomDelayMillis(LATE)) { other.barInTable(attempt) }
    }

    private fun told(attempt: BookingAttempt, reply: BookingReply) {
        if (reply.execution == Execution.NOT_RUN) notRun += attempt
        reply.answer?.let { answers += attempt to it.body.decodeToString() }
    }

    private inner class Agent(val process: SimulatedProcess, val incarnation: String, table: SimulatedTable) {
        var skew = 0L
        private val clock = { simulation.now + skew }
        private val barring = BookingBar(table, clock)
        val bookings = Bookings(incarnation, table, clock, WriteBudget(simulation.timeSource), attemptCapacity = 2)

        fun run(attempt: BookingAttempt) {
            val reply = if (simulation.chance(RARE)) {
                bookings.refuse(attempt, "leaving", "the endpoint is leaving")
            } else {
                bookings.run(attempt) { send(attempt) }
            }
            reply.thenAccept { told(attempt, it) }
        }

        fun barInTable(attempt: BookingAttempt) {
            barring.bar(attempt).thenAccept { told(attempt, it) }
        }

        private fun send(attempt: BookingAttempt): CompletableFuture<CallResult> {
            val result = CompletableFuture<CallResult>()
            val answer = BookingAnswer(200, listOf("a" to "b"), attempt.digest.toByteArray())
            when (simulation.random.nextInt(CALL_KINDS)) {
                0 -> process.after(1) { result.complete(CallResult.NotSent("refused")) }
                1 -> executed(attempt, result, CallResult.Lost("no answer"))
                else -> executed(attempt, result, CallResult.Answered(answer))
            }
            return result
        }

        private fun executed(attempt: BookingAttempt, result: CompletableFuture<CallResult>, answer: CallResult) {
            executed += attempt
            if (clock() >= attempt.expiresAtMillis) startedLate += attempt
            process.after(simulation.randomDelayMillis(LATE)) { result.complete(answer) }
        }
    }

    private companion object {
        const val KEYS = 4
        const val ATTEMPTS = 40
        const val FAULTS = 25
        const val FAULT_KINDS = 4
        const val CALL_KINDS = 6
        const val FAULT_PERCENT = 35
        const val RARE = 15
        const val COMMON = 50
        const val PERIOD = 1_000L
        const val LIFETIME = 34_000L
        const val LATE = 60_000L
        const val OUTAGE = 120_000L
        const val SKEW = 10_000L
        const val FAULTS_END = 240_000L
    }
}
