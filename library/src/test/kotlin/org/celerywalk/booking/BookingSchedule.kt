package org.celerywalk.booking

import org.celerywalk.error.Execution
import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import java.util.concurrent.CompletableFuture

/**
 * Simulates bookings under a generated schedule of faults, and records the executed calls and the replies.
 *
 * Two incarnations own the endpoint at the same time. Callers retry bookings through several entries, and messages are
 * delayed and duplicated. Agents are paused, killed and replaced, their clocks differ and jump, and the table has
 * outages of seconds and minutes.
 */
internal class BookingSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable()
    private var areFaultsEnabled = true
    private var tableDownUntilMillis = 0L
    private val agents = ArrayList<Agent>()
    private val attempts = ArrayList<BookingAttempt>()
    private val keys = (1..KEY_COUNT).map { BookingKey("account", "swaps", "key $it") }

    /** Attempts in the order of their execution. */
    val executedAttempts = ArrayList<BookingAttempt>()

    /** Attempts with a `NOT_RUN` reply. */
    val notRunAttempts = HashSet<BookingAttempt>()

    /** Attempts that were executed after their expiry on the clock of their agent. */
    val startedAfterExpiry = ArrayList<BookingAttempt>()

    /** Attempts with the answer that they got, which is the digest of the request that was executed. */
    val answeredAttempts = ArrayList<Pair<BookingAttempt, String>>()

    /** Claims of running agents that remain in the table although the agents have no call in progress. */
    val abandonedClaims: List<String>
        get() = keys.mapNotNull { table.record(it.tableKey) }
            .map { BookingRecord.decode(it.value).state }
            .filterIsInstance<BookingState.Claimed>()
            .filter { claim -> agents.any { it.process.isAlive && it.incarnation == claim.agentIncarnation } }
            .map { it.attemptId }

    fun run() {
        repeat(2) { startAgent() }
        repeat(ATTEMPT_COUNT) { simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) { sendAttempt(it) } }
        repeat(FAULT_COUNT) { simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) { injectFault() } }
        simulation.schedule(FAULTS_END_MILLIS) { areFaultsEnabled = false }
        simulation.run(untilMillis = FAULTS_END_MILLIS * 2)
    }

    private fun startAgent() {
        val process = SimulatedProcess(simulation)
        val client = SimulatedTable(
            simulation,
            process,
            table,
            { if (areFaultsEnabled) TABLE_FAULT_PERCENT else 0 },
            { areFaultsEnabled && simulation.nowMillis < tableDownUntilMillis },
        )
        val agent = Agent(process, "incarnation ${agents.size}", client)
        agents += agent
        resolve(agent)
    }

    private fun resolve(agent: Agent): Unit = agent.process.schedule(RESOLVE_PERIOD_MILLIS) {
        agent.bookings.retryPendingWrites()
        resolve(agent)
    }

    private fun injectFault() {
        val agent = agents.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KIND_COUNT)) {
            0 -> agent.process.pause(simulation.randomDelayMillis(MAX_OUTAGE_MILLIS))
            1 -> {
                agent.process.isAlive = false
                startAgent()
            }
            2 -> agent.clockSkewMillis = simulation.random.nextLong(-MAX_CLOCK_SKEW_MILLIS, MAX_CLOCK_SKEW_MILLIS)
            else -> tableDownUntilMillis = simulation.nowMillis + simulation.randomDelayMillis(MAX_OUTAGE_MILLIS)
        }
    }

    private fun sendAttempt(number: Int) {
        val addressedAgent = agents.takeLast(2).random(simulation.random)
        val digest = if (simulation.randomBoolean(RARE_PERCENT)) "other" else "digest"
        val attempt = BookingAttempt(
            keys.random(simulation.random),
            "attempt$number",
            addressedAgent.incarnation,
            digest,
            simulation.nowMillis + simulation.random.nextLong(MAX_LIFETIME_MILLIS),
        )
        attempts += attempt
        val copies = if (simulation.randomBoolean(RARE_PERCENT)) 2 else 1
        repeat(copies) {
            // Another incarnation may have taken over the address.
            val receiver =
                if (simulation.randomBoolean(RARE_PERCENT)) agents.random(simulation.random) else addressedAgent
            receiver.process.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) { receiver.run(attempt) }
        }
        if (simulation.randomBoolean(COMMON_PERCENT)) barLater(attempt, addressedAgent)
    }

    private fun barLater(attempt: BookingAttempt, agent: Agent) {
        agent.process.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
            val execution = agent.bookings.bar(attempt.attemptId, attempt.agentIncarnation, attempt.expiresAtMillis)
            if (execution == Execution.NOT_RUN) notRunAttempts += attempt
        }
        val other = agents.random(simulation.random)
        if (simulation.randomBoolean(COMMON_PERCENT)) {
            other.process.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) { other.barInTable(attempt) }
        }
    }

    private fun recordReply(attempt: BookingAttempt, reply: BookingReply) {
        if (reply.execution == Execution.NOT_RUN) notRunAttempts += attempt
        reply.answer?.let { answeredAttempts += attempt to it.body.decodeToString() }
    }

    private inner class Agent(val process: SimulatedProcess, val incarnation: String, table: SimulatedTable) {
        var clockSkewMillis = 0L
        private val clock = { simulation.nowMillis + clockSkewMillis }
        private val barWriter = AttemptBarWriter(table, clock)
        val bookings = Bookings(incarnation, table, clock, WriteBudget(simulation.timeSource), attemptCapacity = 2)

        fun run(attempt: BookingAttempt) {
            val reply = if (simulation.randomBoolean(RARE_PERCENT)) {
                bookings.refuse(attempt, "leaving", "the endpoint is leaving")
            } else {
                bookings.run(attempt) { send(attempt) }
            }
            reply.thenAccept { recordReply(attempt, it) }
        }

        fun barInTable(attempt: BookingAttempt) {
            barWriter.bar(attempt).thenAccept { recordReply(attempt, it) }
        }

        private fun send(attempt: BookingAttempt): CompletableFuture<CallResult> {
            val result = CompletableFuture<CallResult>()
            val answer = BookingAnswer(200, listOf("a" to "b"), attempt.digest.toByteArray())
            when (simulation.random.nextInt(CALL_KIND_COUNT)) {
                0 -> process.schedule(1) { result.complete(CallResult.NotSent("refused")) }
                1 -> recordCall(attempt, result, CallResult.Lost("no answer"))
                else -> recordCall(attempt, result, CallResult.Answered(answer))
            }
            return result
        }

        private fun recordCall(attempt: BookingAttempt, result: CompletableFuture<CallResult>, answer: CallResult) {
            executedAttempts += attempt
            if (clock() >= attempt.expiresAtMillis) startedAfterExpiry += attempt
            process.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) { result.complete(answer) }
        }
    }

    private companion object {
        const val KEY_COUNT = 4
        const val ATTEMPT_COUNT = 40
        const val FAULT_COUNT = 25
        const val FAULT_KIND_COUNT = 4
        const val CALL_KIND_COUNT = 6
        const val TABLE_FAULT_PERCENT = 35
        const val RARE_PERCENT = 15
        const val COMMON_PERCENT = 50
        const val RESOLVE_PERIOD_MILLIS = 1_000L
        const val MAX_LIFETIME_MILLIS = 34_000L
        const val MAX_DELAY_MILLIS = 60_000L
        const val MAX_OUTAGE_MILLIS = 120_000L
        const val MAX_CLOCK_SKEW_MILLIS = 10_000L
        const val FAULTS_END_MILLIS = 240_000L
    }
}
