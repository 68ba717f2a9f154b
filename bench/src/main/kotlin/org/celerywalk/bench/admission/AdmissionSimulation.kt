package org.celerywalk.bench.admission

import org.celerywalk.admission.Admission
import org.celerywalk.admission.AdmissionQueue
import org.celerywalk.admission.AdmissionRequest
import org.celerywalk.admission.FairShares
import org.celerywalk.admission.ReturnTimes
import org.celerywalk.bench.EventLoop
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** How gateways treat a request. */
internal enum class Treatment(val title: String, val hasAdmission: Boolean, val estimatesByRank: Boolean) {
    /** Sent at once; a request that is expected to be late gets the lowest priority. */
    BEFORE("before", hasAdmission = false, estimatesByRank = false),

    /** Admission; the estimate counts all prompts that wait at a replica. */
    ADMISSION("admission", hasAdmission = true, estimatesByRank = false),

    /** Admission; the estimate counts only the prompts of the same or a more urgent rank. */
    ADMISSION_BY_RANK("admission, estimate by rank", hasAdmission = true, estimatesByRank = true),
}

/** What a run simulates; [load] is a share of the capacity of the replicas. */
internal data class Scene(val mix: Mix, val load: Double, val treatment: Treatment, val gateways: Int)

/** Simulates gateways and replicas for one offered load; the gateways know each other's work with a delay. */
internal class AdmissionSimulation(scene: Scene, private val seed: Int) {
    private val mix = scene.mix
    private val load = scene.load
    private val treatment = scene.treatment
    private val gatewayCount = scene.gateways
    private val loop = EventLoop()
    private val replicas = List(REPLICAS) { ReplicaModel(loop) }
    private val work = FleetWork(REPLICAS, gatewayCount)
    private val gateways = List(gatewayCount) { Gateway(it) }
    private val goodput = Goodput()

    fun execute(): Goodput {
        val capacity = REPLICAS * ReplicaModel.TOKENS_PER_MILLI * 1.milliseconds.rate()
        mix.calls(load, capacity, gatewayCount, seed).forEach { call ->
            loop.schedule(call.time) { gateways[call.gateway].receive(call) }
        }
        repeatEach(maxOf(REPORT_INTERVAL_PER_GATEWAY * gatewayCount, MIN_REPORT_INTERVAL)) {
            work.report()
            gateways.forEach { it.recordPeerCosts(gateways) }
        }
        if (treatment.hasAdmission) repeatEach(RELEASE_INTERVAL) { gateways.forEach(Gateway::release) }
        loop.runUntil(Mix.RUN_TIME + DRAIN_TIME)
        return goodput
    }

    private fun repeatEach(interval: Duration, action: () -> Unit) {
        loop.schedule(interval) {
            action()
            if (loop.now < Mix.RUN_TIME + DRAIN_TIME) repeatEach(interval, action)
        }
    }

    private fun Duration.rate() = 1 / toDouble(DurationUnit.SECONDS)

    private inner class Gateway(private val number: Int) {
        private val random = Random(seed * RANDOM_FACTOR + number)
        private val shares = FairShares(loop.clock)
        private val queue = AdmissionQueue(loop.clock, shares, ReturnTimes(loop.clock, random), random).apply {
            lateRank = 0
        }
        private val waiting = LinkedHashMap<AdmissionRequest, Call>()
        private val costs = HashMap<String, Double>()

        fun receive(call: Call) {
            goodput.recordOffered(call)
            if (!treatment.hasAdmission) return sendOrDefer(call)
            val arrivedAt = loop.clock.markNow()
            val latestStart = arrivedAt + call.kind.target - ReplicaModel.readTime(call.kind.promptTokens)
            val rank = call.kind.rank
            val request =
                AdmissionRequest(call.account, call.kind.name, rank, call.kind.promptTokens, arrivedAt, latestStart)
            when (val admission = queue.offer(request, timeToStart(bestReplica(call, rank), rank))) {
                is Admission.Admitted -> send(call, if (admission.isLate) rank + 1 else rank)
                is Admission.Waiting -> waiting[request] = call
                is Admission.Refused -> Unit
            }
        }

        fun release() {
            if (waiting.isEmpty()) return
            queue.releaseNext({ timeToStart(bestReplica(waiting.getValue(it), it.rank), it.rank) }, limit = 1)
            waiting.entries.removeIf { (request, call) ->
                val decision = queue.poll(request)
                if (decision is Admission.Admitted) send(call, request.rank)
                decision != Admission.Waiting
            }
        }

        // The cost of a request is 1, as for a quota that counts requests.
        fun recordPeerCosts(gateways: List<Gateway>) = costs.forEach { (account, cost) ->
            val peers = gateways.filter { it !== this }
            shares.recordCosts(account, cost, peers.sumOf { it.costs[account] ?: 0.0 })
        }

        private fun sendOrDefer(call: Call) {
            val ownTime = ReplicaModel.readTime(call.kind.promptTokens)
            val expected = timeToStart(bestReplica(call, call.kind.rank), call.kind.rank) + ownTime
            val isDeferred = expected > call.kind.target * LATE_BUDGET_SHARE
            send(call, if (isDeferred) FleetWork.LOWEST_PRIORITY else call.kind.rank)
        }

        private fun send(call: Call, priority: Int) {
            costs.merge(call.account, 1.0, Double::plus)
            val replica = bestReplica(call, priority)
            val expected = timeToStart(replica, priority) + ReplicaModel.readTime(call.kind.promptTokens)
            val left = call.time + call.kind.target * DEADLINE_TARGETS - loop.now
            if (expected <= left * PLANNABLE_TIME_SHARE) place(call, replica, priority)
        }

        private fun place(call: Call, replica: Int, priority: Int) {
            val tokens = call.kind.promptTokens
            work.add(number, replica, priority, tokens)
            var isOpen = true
            val prefill = Prefill(tokens, priority) {
                isOpen = false
                work.add(number, replica, priority, -tokens)
                goodput.recordFirstToken(call, loop.now - call.time)
            }
            replicas[replica].add(prefill)
            loop.schedule(call.time + call.kind.target * DEADLINE_TARGETS - loop.now) {
                if (isOpen) {
                    replicas[replica].cancel(prefill)
                    work.add(number, replica, priority, -tokens)
                }
            }
        }

        // Replicas without work that comes first are told apart by the rest.
        private fun bestReplica(call: Call, priority: Int) = call.replicas.minWith(
            compareBy({ timeToStart(it, priority) }, { work.tokens(number, it, ALL_PRIORITIES) }),
        )

        // Without the estimate by rank, late requests count only for late ones.
        private fun timeToStart(replica: Int, priority: Int): Duration {
            val isLate = priority % 2 == 1
            val counted = when {
                treatment.estimatesByRank || priority == FleetWork.LOWEST_PRIORITY -> (0..priority).toList()
                isLate -> listOf(0, 1, 2)
                else -> Kind.entries.map { it.rank }
            }
            return ReplicaModel.readTime(work.tokens(number, replica, counted))
        }
    }

    companion object {
        const val REPLICAS = 6
        private const val RANDOM_FACTOR = 1_000

        private val ALL_PRIORITIES = (0..FleetWork.LOWEST_PRIORITY).toList()

        // Values of ModelReplicaChooser and GenerationPlacer.
        private const val LATE_BUDGET_SHARE = 1.1
        private const val PLANNABLE_TIME_SHARE = 0.8

        // Callers give up after this many latency targets.
        private const val DEADLINE_TARGETS = 4

        // Intervals of the messages between gateways.
        private val REPORT_INTERVAL_PER_GATEWAY = 5.milliseconds
        private val MIN_REPORT_INTERVAL = 100.milliseconds
        private val RELEASE_INTERVAL = 20.milliseconds
        private val DRAIN_TIME = Kind.LONG.target * DEADLINE_TARGETS
    }
}
