package org.celerywalk.endpoint

import org.celerywalk.simulation.SimulatedProcess
import org.celerywalk.simulation.SimulatedTable
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable

/**
 * Simulates the weight reconciliation of several endpoints under a generated schedule of faults.
 *
 * The desired weights change, and agents learn of a change up to 5 s later or after a pause. Endpoints get new agents
 * while their earlier agents keep running. Agents are paused and killed, orders arrive up to 5 s late, every second
 * engine ignores the fencing token, and the table has faults and outages.
 */
internal class OrderSchedule(seed: Long) {
    private val simulation = Simulation(seed)
    private val table = FakeTable()
    private val engines = (0 until ENDPOINT_COUNT).map { Engine(checksFencingNumber = it % 2 == 0) }
    private val agents = ArrayList<Agent>()
    private val ownerHistory = HashMap<Int, ArrayList<Pair<Long, Agent>>>()
    private var areFaultsEnabled = true
    private var tableDownUntilMillis = 0L
    private var nameCount = 0
    private var desiredVersion = 1

    /** Largest number of engines that loaded weights at the same time. */
    var maxConcurrentLoads = 0

    /** Number of orders from agents that another agent had replaced more than 2 s before. */
    var staleOrderCount = 0

    /** Number of orders that made an engine load weights. */
    var loadCount = 0

    /** Weights of engines that differ from the desired ones at the end. */
    val wrongWeights get() = engines.map { it.weights }.filter { it != weights(desiredVersion) }

    fun run() {
        repeat(ENDPOINT_COUNT) { startAgent(it) }
        repeat(FAULT_COUNT) { simulation.schedule(simulation.random.nextLong(FAULTS_END_MILLIS)) { injectFault() } }
        simulation.schedule(FAULTS_END_MILLIS) {
            areFaultsEnabled = false
            changeDesiredWeights()
        }
        simulation.run(untilMillis = FAULTS_END_MILLIS * 2)
    }

    private fun startAgent(endpoint: Int) {
        agents += Agent(endpoint).also { it.start() }
    }

    private fun changeDesiredWeights() {
        desiredVersion++
        val version = desiredVersion
        agents.forEach { agent ->
            agent.process.schedule(simulation.randomDelayMillis(MAX_CONFIGURATION_DELAY_MILLIS)) {
                agent.knownVersion = maxOf(agent.knownVersion, version)
            }
        }
    }

    private fun injectFault() {
        val agent = agents.random(simulation.random)
        when (simulation.random.nextInt(FAULT_KIND_COUNT)) {
            0 -> agent.process.pause(simulation.randomDelayMillis(MAX_PAUSE_MILLIS))
            1 -> tableDownUntilMillis = simulation.nowMillis + simulation.randomDelayMillis(MAX_PAUSE_MILLIS)
            2 -> {
                agent.process.isAlive = false
                startAgent(agent.endpoint)
            }
            3 -> startAgent(agent.endpoint)
            else -> changeDesiredWeights()
        }
    }

    // The modulo makes later versions return to earlier weights, as operators do with a rollback.
    private fun weights(version: Int) = "weights ${version % WEIGHTS_COUNT}"

    /** Returns true if the fencing record of [endpoint] named [agent] at some time within the last 2 s. */
    private fun wasOwnerRecently(endpoint: Int, agent: Agent): Boolean {
        val history = ownerHistory.getValue(endpoint)
        val nextOwnerIndex = history.indexOfLast { it.second === agent } + 1
        return nextOwnerIndex == history.size ||
            history[nextOwnerIndex].first >= simulation.nowMillis - MAX_ORDER_AGE_MILLIS
    }

    private inner class Engine(val checksFencingNumber: Boolean) {
        var weights = "weights 0"
        var loading: String? = null
        private var lastNumber = 0L

        fun receive(number: Long, orderedWeights: String) {
            val isRefused = loading != null || checksFencingNumber && number < lastNumber
            if (isRefused) return
            lastNumber = number
            if (weights == orderedWeights) return
            loading = orderedWeights
            loadCount++
            maxConcurrentLoads = maxOf(maxConcurrentLoads, engines.count { it.loading != null })
            simulation.schedule(simulation.random.nextLong(MAX_LOADING_MILLIS)) {
                weights = orderedWeights
                loading = null
            }
        }
    }

    private inner class Agent(val endpoint: Int) {
        var knownVersion = desiredVersion
        private val desiredWeights get() = weights(knownVersion)
        val process = SimulatedProcess(simulation)
        private val client = SimulatedTable(
            simulation,
            process,
            table,
            { if (areFaultsEnabled) TABLE_FAULT_PERCENT else 0 },
            { areFaultsEnabled && simulation.nowMillis < tableDownUntilMillis },
        )
        val name = "agent ${nameCount++}"
        private val orders = WeightOrders("e$endpoint", name, client, simulation.timeSource) { "${nameCount++}" }

        fun start() {
            orders.start().thenAccept { poll() }
        }

        private fun poll(): Unit = process.schedule(
            POLL_PERIOD_MILLIS + simulation.random.nextLong(POLL_PERIOD_MILLIS),
        ) {
            val engine = engines[endpoint]
            recordOwners()
            when {
                engine.loading != null -> poll()
                engine.weights == desiredWeights -> orders.releaseSlot("r", engine.weights).thenAccept { poll() }
                else -> {
                    if (areFaultsEnabled && simulation.randomBoolean(PAUSE_DURING_ORDER_PERCENT)) pauseDuringOrder()
                    orders.order("r", desiredWeights) { send(it) }.thenAccept { poll() }
                }
            }
        }

        private fun pauseDuringOrder() = simulation.schedule(simulation.random.nextLong(MAX_PAUSE_START_MILLIS)) {
            process.pause(simulation.randomDelayMillis(MAX_PAUSE_MILLIS))
        }

        private fun send(number: Long) {
            val desiredWeights = desiredWeights
            recordOwners()
            if (!wasOwnerRecently(endpoint, this)) staleOrderCount++
            simulation.schedule(simulation.randomDelayMillis(MAX_ORDER_DELAY_MILLIS)) {
                engines[endpoint].receive(number, desiredWeights)
            }
        }
    }

    /** Records the current owner of each endpoint, with the time at which the simulation first saw it. */
    private fun recordOwners() = repeat(ENDPOINT_COUNT) { endpoint ->
        val name = table.record("fence/e$endpoint")?.value?.substringAfter(" ")
        val owner = agents.find { it.name == name }
        val history = ownerHistory.getOrPut(endpoint) { ArrayList() }
        if (owner != null && history.lastOrNull()?.second !== owner) history += simulation.nowMillis to owner
    }

    private companion object {
        const val ENDPOINT_COUNT = 5
        const val MAX_CONFIGURATION_DELAY_MILLIS = 5_000L
        const val PAUSE_DURING_ORDER_PERCENT = 10
        const val MAX_PAUSE_START_MILLIS = 5L
        const val WEIGHTS_COUNT = 3
        const val FAULT_COUNT = 25
        const val FAULT_KIND_COUNT = 5
        const val TABLE_FAULT_PERCENT = 25
        const val POLL_PERIOD_MILLIS = 500L
        const val MAX_ORDER_DELAY_MILLIS = 5_000L
        const val MAX_LOADING_MILLIS = 15_000L
        const val MAX_PAUSE_MILLIS = 90_000L
        const val MAX_ORDER_AGE_MILLIS = 2_000L
        const val FAULTS_END_MILLIS = 300_000L
    }
}
