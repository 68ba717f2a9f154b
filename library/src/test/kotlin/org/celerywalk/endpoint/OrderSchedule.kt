package org.celerywalk.endpoint

import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable

/**
 * Reconciles the weights of several endpoints under a generated schedule of faults.
 *
 * The desired weights change; agents learn it up to 5 s later, or after a pause. Endpoints get new agents while older
 * ones live on. Agents are paused and killed, orders arrive up to 5 s late, every second engine ignores the fencing
 * number, and the table has faults and outages.
 */
internal class OrderSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable()
    private val engines = (0 until ENDPOINTS).map { Engine(checks = it % 2 == 0) }
    private val agents = ArrayList<Agent>()
    private val owners = HashMap<Int, ArrayList<Pair<Long, Agent>>>()
    private var faulty = true
    private var downUntil = 0L
    private var names = 0
    private var desired = 1

    /** Largest number of engines that loaded weights at the same time. */
    var mostLoading = 0

    /** Orders that were sent by an agent that had lost the endpoint more than 2 s before. */
    var staleOrders = 0

    /** Number of orders that engines obeyed. */
    var loads = 0

    /** Weights of engines that differ from the desired ones at the end. */
    val wrongWeights get() = engines.map { it.weights }.filter { it != weights(desired) }

    fun run() {
        repeat(ENDPOINTS) { startAgent(it) }
        repeat(FAULTS) { simulation.after(simulation.random.nextLong(FAULTS_END)) { fault() } }
        simulation.after(FAULTS_END) {
            faulty = false
            configure()
        }
        simulation.run(untilMillis = FAULTS_END * 2)
    }

    private fun startAgent(endpoint: Int) {
        agents += Agent(endpoint).also { it.start() }
    }

    private fun configure() {
        desired++
        val version = desired
        agents.forEach { agent ->
            agent.process.after(simulation.randomDelayMillis(LAG)) { agent.version = maxOf(agent.version, version) }
        }
    }

    private fun fault() {
        val agent = agents.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KINDS)) {
            0 -> agent.process.pause(simulation.randomDelayMillis(PAUSE))
            1 -> downUntil = simulation.now + simulation.randomDelayMillis(PAUSE)
            2 -> {
                agent.process.isAlive = false
                startAgent(agent.endpoint)
            }
            3 -> startAgent(agent.endpoint)
            else -> configure()
        }
    }

    // Operators also go back to earlier weights.
    private fun weights(version: Int) = "weights ${version % DIFFERENT_WEIGHTS}"

    /** Returns true if the record of [endpoint] named [agent] at some time within the last 2 s. */
    private fun wasCurrent(endpoint: Int, agent: Agent): Boolean {
        val history = owners.getValue(endpoint)
        val next = history.indexOfLast { it.second === agent } + 1
        return next == history.size || history[next].first >= simulation.now - MOST_STALE
    }

    private inner class Engine(val checks: Boolean) {
        var weights = "weights 0"
        var loading: String? = null
        private var lastNumber = 0L

        fun receive(number: Long, wanted: String) {
            val refused = loading != null || checks && number < lastNumber
            if (refused) return
            lastNumber = number
            if (weights == wanted) return
            loading = wanted
            loads++
            mostLoading = maxOf(mostLoading, engines.count { it.loading != null })
            simulation.after(simulation.random.nextLong(LOADING)) {
                weights = wanted
                loading = null
            }
        }
    }

    private inner class Agent(val endpoint: Int) {
        var version = desired
        private val wish get() = weights(version)
        val process = SimulatedProcess(simulation)
        private val client = SimulatedTable(
            simulation,
            process,
            table,
            { if (faulty) FAULT_PERCENT else 0 },
            { faulty && simulation.now < downUntil },
        )
        val name = "agent ${names++}"
        private val orders = WeightOrders("e$endpoint", name, client, simulation.timeSource) { "${names++}" }

        fun start() {
            orders.start().thenAccept { poll() }
        }

        private fun poll(): Unit = process.after(PERIOD + simulation.random.nextLong(PERIOD)) {
            val engine = engines[endpoint]
            noteOwner()
            when {
                engine.loading != null -> poll()
                engine.weights == wish -> orders.loaded("r", engine.weights).thenAccept { poll() }
                else -> {
                    if (faulty && simulation.chance(RARE)) pauseWhileAsking()
                    orders.order("r", wish) { send(it) }.thenAccept { poll() }
                }
            }
        }

        private fun pauseWhileAsking() =
            simulation.after(simulation.random.nextLong(ASKING)) { process.pause(simulation.randomDelayMillis(PAUSE)) }

        private fun send(number: Long) {
            val wish = wish
            noteOwner()
            if (!wasCurrent(endpoint, this)) staleOrders++
            simulation.after(simulation.randomDelayMillis(TRANSIT)) { engines[endpoint].receive(number, wish) }
        }
    }

    /** Records the present owner of each endpoint and since when; a change is noted when it is first seen. */
    private fun noteOwner() = repeat(ENDPOINTS) { endpoint ->
        val name = table.record("fence/e$endpoint")?.value?.substringAfter(" ")
        val owner = agents.find { it.name == name }
        val history = owners.getOrPut(endpoint) { ArrayList() }
        if (owner != null && history.lastOrNull()?.second !== owner) history += simulation.now to owner
    }

    private companion object {
        const val ENDPOINTS = 5
        const val LAG = 5_000L
        const val RARE = 10
        const val ASKING = 5L
        const val DIFFERENT_WEIGHTS = 3
        const val FAULTS = 25
        const val FAULT_KINDS = 5
        const val FAULT_PERCENT = 25
        const val PERIOD = 500L
        const val TRANSIT = 5_000L
        const val LOADING = 15_000L
        const val PAUSE = 90_000L
        const val MOST_STALE = 2_000L
        const val FAULTS_END = 300_000L
    }
}
