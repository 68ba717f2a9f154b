package org.celerywalk.bench

import org.HdrHistogram.Histogram
import org.celerywalk.endpoint.ReplicaSummary
import org.celerywalk.routing.EndpointChooser
import org.celerywalk.routing.RoutingRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates one policy under one workload, condition, load and seed. */
internal class Simulation(
    val workload: Workload,
    private val condition: Condition,
    private val load: Double,
    private val policy: Policy,
    private val seed: Int,
) {
    val loop = EventLoop()
    val metrics = Metrics(workload.accountShares.size, condition.noisyAccount)
    private val random = Random(seed)
    val agents: List<SimulatedAgent> = List(workload.replicaCount) { agent(it) }
    private val entries = List(workload.entryCount) { SimulatedEntry(it, this) }

    fun execute(): Metrics {
        entries.forEach { it.start(policy.createChooser(this)) }
        val calls = ArrivalSource(workload, load, condition).arrivals(seed).map { Call(it, isMeasured(it.time)) }
        calls.forEach { loop.schedule(it.arrival.time) { entries[it.arrival.entryIndex].serve(it) } }
        entries.forEach { entry -> loop.schedule(GossipPeriod) { gossip(entry) } }
        scheduleFaults()
        loop.runUntil(Condition.RunDuration)
        calls.filter { !it.isSettled }.forEach { metrics.recordUnanswered(it) }
        return metrics
    }

    /** Returns the one-way network delay between an entry and the agent of a replica. */
    fun networkDelay(entryIndex: Int, replicaIndex: Int): Duration =
        if ((entryIndex - replicaIndex) % workload.dataCentreCount == 0) LocalDelay else workload.crossDataCentreDelay

    /** Excludes the warm-up, and the end of the run, where the run may be too short for a first token in time. */
    private fun isMeasured(time: Duration) =
        time >= Condition.WarmUpDuration && time < Condition.RunDuration - Metrics.MaxServedTime

    private fun agent(replicaIndex: Int): SimulatedAgent {
        val engine = SimulatedEngine(loop, workload) { request, cachedPieces, engine ->
            recordPrefill(request, cachedPieces, engine)
        }
        val cacheView =
            SimulatedAgent.CacheView(policy.isOracle, condition.eventLossRate, Random(seed + replicaIndex))
        return SimulatedAgent("replica$replicaIndex", loop, workload, engine, cacheView)
    }

    private fun recordPrefill(request: RoutingRequest, cachedPieces: Int, engine: SimulatedEngine) {
        if (loop.now < Condition.WarmUpDuration) return
        val maxPiecesElsewhere = agents.filter { it.engine.isUp && it.engine !== engine }
            .maxOfOrNull { it.engine.cachedPrefixPieces(request.pieceNames) } ?: 0
        metrics.promptTokens += request.promptTokens
        metrics.cachedTokens += cachedPieces * request.pieceTokens
        metrics.wastedTokens += (maxPiecesElsewhere - cachedPieces).coerceAtLeast(0) * request.pieceTokens.toLong()
        metrics.hitsBySecond.add(loop.now, request.promptTokens, cachedPieces * request.pieceTokens)
    }

    /** Sends the summary of a random replica to [entry], unless it is lost, and schedules the next exchange. */
    private fun gossip(entry: SimulatedEntry) {
        val replicaIndex = random.nextInt(agents.size)
        if (random.nextDouble() >= condition.eventLossRate) {
            val summary = agents[replicaIndex].summary()
            loop.schedule(networkDelay(entry.index, replicaIndex)) { entry.updateSummary(replicaIndex, summary) }
        }
        loop.schedule(GossipPeriod) { gossip(entry) }
    }

    private fun scheduleFaults() {
        condition.crashWindow?.let { window ->
            loop.schedule(window.start) { agents.first().crash() }
            loop.schedule(window.endInclusive) { agents.first().engine.restart() }
        }
        condition.entryRestartTime?.let { time ->
            loop.schedule(time) { entries.forEach { it.start(policy.createChooser(this)) } }
        }
        condition.slowdownStart?.let { time ->
            loop.schedule(time) { agents.first().engine.prefillSpeedFactor = SLOW_PREFILL_FACTOR }
        }
    }

    private companion object {
        val GossipPeriod = 200.milliseconds
        val LocalDelay = 100.microseconds
        const val SLOW_PREFILL_FACTOR = 0.33
    }
}

/** Tracks one request of a caller through its attempts. */
internal class Call(val arrival: Arrival, val isMeasured: Boolean) {
    val triedReplicas = HashSet<String>()
    var hasFirstToken = false
    var isRefused = false
    val isSettled: Boolean get() = hasFirstToken || isRefused
}

/** Simulates how an entry forwards requests and retries failed attempts with the chooser under test. */
internal class SimulatedEntry(val index: Int, private val simulation: Simulation) {
    private lateinit var chooser: EndpointChooser
    private val summaries = ArrayList<ReplicaSummary>()

    /** Starts or restarts with a new chooser and the summaries that the agents send in their first replies. */
    fun start(chooser: EndpointChooser) {
        this.chooser = chooser
        summaries.clear()
        summaries += simulation.agents.map { it.summary() }
    }

    fun updateSummary(replicaIndex: Int, summary: ReplicaSummary) {
        summaries[replicaIndex] = summary
    }

    fun serve(call: Call) {
        val request = call.arrival.request
        val chosen = chooser.choose(request, summaries).firstOrNull { it.replica !in call.triedReplicas }
        if (chosen == null || call.triedReplicas.size >= MAX_ATTEMPTS) {
            call.isRefused = !call.hasFirstToken
            if (call.isRefused) simulation.metrics.recordRefusal(call, simulation.loop.now)
            return
        }
        call.triedReplicas += chosen.replica
        val replicaIndex = summaries.indexOfFirst { it.replica == chosen.replica }
        chooser.recordSent(request, chosen)
        val job = Job(request, call.arrival.outputTokens, Attempt(call, chosen, replicaIndex))
        simulation.loop.schedule(simulation.networkDelay(index, replicaIndex)) {
            simulation.agents[replicaIndex].offer(job)
        }
    }

    private inner class Attempt(
        val call: Call,
        val chosen: ReplicaSummary,
        val replicaIndex: Int,
    ) : JobListener {
        private val chooserAtStart = chooser
        private val request = call.arrival.request

        override fun onStarted(cachedTokens: Int) = reply { now ->
            chooserAtStart.recordAnswer(request, chosen, cachedTokens)
            if (!call.hasFirstToken) simulation.metrics.recordFirstToken(call, now - call.arrival.time)
            call.hasFirstToken = true
        }

        override fun onFinished() = reply { chooserAtStart.recordEnd(request, chosen) }

        override fun onFailed(isNotExecuted: Boolean) = reply {
            chooserAtStart.recordEnd(request, chosen)
            if (!isNotExecuted) call.triedReplicas.clear()
            call.triedReplicas += chosen.replica
            serve(call)
        }

        /** Delivers an event to the entry after the network delay, together with the current replica summary. */
        private fun reply(action: (now: Duration) -> Unit) {
            val summary = simulation.agents[replicaIndex].summary()
            simulation.loop.schedule(simulation.networkDelay(index, replicaIndex)) {
                updateSummary(replicaIndex, summary)
                action(simulation.loop.now)
            }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}

/**
 * Collects the metrics of a run, or of several runs with different seeds. Histograms hold the time to first token in
 * microseconds.
 *
 * Requests of [noisyAccount] are not counted, except for the hit rate and the wasted tokens.
 */
internal class Metrics(accountCount: Int, private val noisyAccount: Int?) {
    val firstTokenMicros = Histogram(MAX_MICROS, SIGNIFICANT_DIGITS)
    val urgentFirstTokenMicros = Histogram(MAX_MICROS, SIGNIFICANT_DIGITS)
    val accountFirstTokenMicros = List(accountCount) { Histogram(MAX_MICROS, SIGNIFICANT_DIGITS) }

    /** Prompt tokens of all counted requests, by account. */
    val offeredTokens = LongArray(accountCount)

    /** Prompt tokens of the requests with a first token within [MaxServedTime], by account. */
    val servedTokens = LongArray(accountCount)
    val hitsBySecond = HitsBySecond()
    var promptTokens = 0L
    var cachedTokens = 0L

    /** Tokens that were computed although another replica had them cached. */
    var wastedTokens = 0L
    var measuredRequests = 0L
    var refusedRequests = 0L
    var measuredAfterFault = 0L
    var refusedAfterFault = 0L

    fun recordFirstToken(call: Call, timeToFirstToken: Duration) {
        if (!isCounted(call)) return
        record(call, timeToFirstToken)
        if (timeToFirstToken <= MaxServedTime) {
            servedTokens[call.arrival.accountIndex] += call.arrival.request.promptTokens.toLong()
        }
    }

    fun recordRefusal(call: Call, now: Duration) {
        if (!isCounted(call)) return
        recordUnanswered(call)
        refusedRequests++
        if (isAfterFault(now)) refusedAfterFault++
    }

    /** Counts an unanswered request with the longest time, so that dropping requests cannot lower the tail latency. */
    fun recordUnanswered(call: Call) {
        if (isCounted(call)) record(call, MAX_MICROS.microseconds)
    }

    fun add(other: Metrics) {
        firstTokenMicros.add(other.firstTokenMicros)
        urgentFirstTokenMicros.add(other.urgentFirstTokenMicros)
        accountFirstTokenMicros.zip(other.accountFirstTokenMicros)
            .forEach { (histogram, otherHistogram) -> histogram.add(otherHistogram) }
        offeredTokens.indices.forEach {
            offeredTokens[it] += other.offeredTokens[it]
            servedTokens[it] += other.servedTokens[it]
        }
        hitsBySecond.add(other.hitsBySecond)
        promptTokens += other.promptTokens
        cachedTokens += other.cachedTokens
        wastedTokens += other.wastedTokens
        measuredRequests += other.measuredRequests
        refusedRequests += other.refusedRequests
        measuredAfterFault += other.measuredAfterFault
        refusedAfterFault += other.refusedAfterFault
    }

    private fun record(call: Call, timeToFirstToken: Duration) {
        val micros = timeToFirstToken.inWholeMicroseconds.coerceAtMost(MAX_MICROS)
        val arrival = call.arrival
        measuredRequests++
        if (isAfterFault(arrival.time)) measuredAfterFault++
        firstTokenMicros.recordValue(micros)
        if (arrival.request.priority > 0) urgentFirstTokenMicros.recordValue(micros)
        accountFirstTokenMicros[arrival.accountIndex].recordValue(micros)
        offeredTokens[arrival.accountIndex] += arrival.request.promptTokens.toLong()
    }

    private fun isCounted(call: Call) = call.isMeasured && call.arrival.accountIndex != noisyAccount

    private fun isAfterFault(time: Duration) =
        time >= Condition.FaultStart && time < Condition.FaultStart + 60.seconds

    companion object {
        /** A request counts as served if its first token arrived within this time. */
        val MaxServedTime = 10.seconds
        private val MAX_MICROS = 100.seconds.inWholeMicroseconds
        private const val SIGNIFICANT_DIGITS = 3
    }
}

/** Counts prompt tokens and cached prompt tokens for each second of a run. */
internal class HitsBySecond {
    private val promptTokens = LongArray(Condition.RunDuration.inWholeSeconds.toInt() + 1)
    private val cachedTokens = LongArray(promptTokens.size)

    fun add(time: Duration, addedPromptTokens: Int, addedCachedTokens: Int) {
        promptTokens[time.inWholeSeconds.toInt()] += addedPromptTokens.toLong()
        cachedTokens[time.inWholeSeconds.toInt()] += addedCachedTokens.toLong()
    }

    fun add(other: HitsBySecond) = promptTokens.indices.forEach {
        promptTokens[it] += other.promptTokens[it]
        cachedTokens[it] += other.cachedTokens[it]
    }

    /** Returns the share of prompt tokens that were cached from [start] to [end] (exclusive). */
    fun hitRate(start: Duration, end: Duration): Double {
        val seconds = start.inWholeSeconds.toInt() until end.inWholeSeconds.toInt()
        return seconds.sumOf { cachedTokens[it] }.toDouble() / seconds.sumOf { promptTokens[it] }.coerceAtLeast(1)
    }
}
