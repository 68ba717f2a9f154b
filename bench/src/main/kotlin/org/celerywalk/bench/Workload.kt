package org.celerywalk.bench

import org.celerywalk.routing.RoutingRequest
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes one level of nested prefixes.
 *
 * @property childCount number of continuations of each prefix of the level above.
 * @property pieces length of each continuation in prefix cache pieces.
 * @property zipfExponent skew of the popularity of the continuations.
 */
internal data class PrefixLevel(val childCount: Int, val pieces: Int, val zipfExponent: Double)

/**
 * Describes a kind of request.
 *
 * @property share fraction of the requests.
 * @property levelCount number of prefix levels that the prompt includes.
 * @property suffixTokens length of the prompt part after the shared prefix.
 * @property priority larger is more urgent.
 */
internal data class RequestKind(
    val name: String,
    val share: Double,
    val levelCount: Int,
    val suffixTokens: IntRange,
    val outputTokens: Int,
    val priority: Int,
)

/**
 * Describes the traffic and the engines of one organisation.
 *
 * @property accountShares fraction of the requests, by client account.
 * @property levels shared prefixes, outermost level first.
 * @property prefillTokensPerSecond prefill speed of an engine that decodes no requests.
 * @property cacheCapacityPieces capacity of an engine's prefix cache in pieces.
 * @property engineCapacity maximum number of requests that an engine prefills and decodes at once.
 * @property crossDataCentreDelay one-way network delay between data centres.
 * @property requestsPerSecondAtCapacity request rate that counts as 100 % load.
 * @property prioritizesTailLatency true if the 99th percentile of the time to first token is more important than the
 *   prefix hit rate.
 * @property pieceTokens length of a prefix cache piece in tokens.
 */
internal data class Workload(
    val name: String,
    val accountShares: List<Double>,
    val levels: List<PrefixLevel>,
    val kinds: List<RequestKind>,
    val prefillTokensPerSecond: Double,
    val cacheCapacityPieces: Int,
    val engineCapacity: Int,
    val crossDataCentreDelay: Duration,
    val requestsPerSecondAtCapacity: Double,
    val prioritizesTailLatency: Boolean,
    val pieceTokens: Int = 4_000,
    val replicaCount: Int = 8,
    val entryCount: Int = 3,
    val dataCentreCount: Int = 3,
) {
    companion object {
        val Hanabusa = Workload(
            name = "Hanabusa",
            accountShares = listOf(0.40, 0.25, 0.20, 0.10, 0.05),
            levels = listOf(
                PrefixLevel(childCount = 1, pieces = 1, zipfExponent = 1.0),
                PrefixLevel(childCount = 12, pieces = 1, zipfExponent = 1.1),
                PrefixLevel(childCount = 6, pieces = 2, zipfExponent = 1.1),
            ),
            kinds = listOf(
                RequestKind(
                    "driver lookup",
                    share = 0.6,
                    levelCount = 2,
                    suffixTokens = 50..400,
                    outputTokens = 40,
                    priority = 2,
                ),
                RequestKind(
                    "shop draft",
                    share = 0.4,
                    levelCount = 3,
                    suffixTokens = 500..6_000,
                    outputTokens = 250,
                    priority = 0,
                ),
            ),
            prefillTokensPerSecond = 16_000.0,
            cacheCapacityPieces = 60,
            engineCapacity = 48,
            crossDataCentreDelay = 1.milliseconds,
            // The oracle policy serves all accounts at this rate.
            requestsPerSecondAtCapacity = 44.0,
            prioritizesTailLatency = true,
        )

        val Magnakraft = Workload(
            name = "Magnakraft",
            accountShares = listOf(0.35, 0.30, 0.20, 0.10, 0.05),
            levels = listOf(
                PrefixLevel(childCount = 1, pieces = 2, zipfExponent = 1.0),
                PrefixLevel(childCount = 10, pieces = 2, zipfExponent = 1.2),
                PrefixLevel(childCount = 5, pieces = 8, zipfExponent = 1.2),
            ),
            kinds = listOf(
                RequestKind(
                    "catalogue match",
                    share = 0.5,
                    levelCount = 3,
                    suffixTokens = 300..5_000,
                    outputTokens = 200,
                    priority = 0,
                ),
                RequestKind(
                    "counter question",
                    share = 0.3,
                    levelCount = 2,
                    suffixTokens = 100..600,
                    outputTokens = 80,
                    priority = 1,
                ),
                RequestKind(
                    "order status",
                    share = 0.2,
                    levelCount = 1,
                    suffixTokens = 50..300,
                    outputTokens = 40,
                    priority = 1,
                ),
            ),
            prefillTokensPerSecond = 20_000.0,
            cacheCapacityPieces = 120,
            engineCapacity = 48,
            crossDataCentreDelay = 500.microseconds,
            requestsPerSecondAtCapacity = 20.0,
            prioritizesTailLatency = false,
        )

        val all = listOf(Hanabusa, Magnakraft)
    }
}

/**
 * Describes the faults and disturbances of a run. Times count from its start.
 *
 * @property popularityShifts times at which other prefixes become the most popular ones.
 * @property crashWindow time from the crash of one endpoint to the restart of its engine.
 * @property eventLossRate share of the cache events and of the replica summaries that are lost.
 * @property entryRestartTime time at which all entries restart.
 * @property noisyAccount index of an account that sends five times its usual rate.
 * @property platformOutage time without platform services. It has no effect because the simulation does not use them.
 * @property slowdownStart time from which one engine is slow.
 */
internal data class Condition(
    val name: String,
    val popularityShifts: List<Duration> = emptyList(),
    val crashWindow: ClosedRange<Duration>? = null,
    val eventLossRate: Double = 0.01,
    val entryRestartTime: Duration? = null,
    val noisyAccount: Int? = null,
    val platformOutage: ClosedRange<Duration>? = null,
    val slowdownStart: Duration? = null,
) {
    val isSteady: Boolean get() = this == Steady

    /** True unless the condition is steady or only adds load. After a fault, few requests may be refused. */
    val isFault: Boolean get() = !isSteady && noisyAccount == null

    companion object {
        /** Length of a run. The first [WarmUpDuration] is not measured; most faults begin at [FaultStart]. */
        val RunDuration = 180.seconds
        val WarmUpDuration = 30.seconds
        val FaultStart = 60.seconds
        private val engineOutage = FaultStart..FaultStart + 10.seconds

        val Steady = Condition("steady")
        val NoisyNeighbour = Condition("account at five times its rate", noisyAccount = 1)
        val EntryRestart = Condition("all entries restart", entryRestartTime = FaultStart)
        val all = listOf(
            Steady,
            Condition("hot prefix shifts", popularityShifts = listOf(FaultStart, FaultStart + 40.seconds)),
            Condition("engine crash", crashWindow = engineOutage),
            Condition("10 % of events lost", eventLossRate = 0.1),
            EntryRestart,
            NoisyNeighbour,
            Condition(
                "platform out for two minutes",
                platformOutage = WarmUpDuration + 10.seconds..WarmUpDuration + 130.seconds,
            ),
            Condition("slow endpoint", slowdownStart = FaultStart),
            Condition("engine crash and shift", popularityShifts = listOf(FaultStart), crashWindow = engineOutage),
            Condition("restart and 10 % of events lost", entryRestartTime = FaultStart, eventLossRate = 0.1),
        )
    }
}

/** Describes when a request arrives and at which entry. */
internal class Arrival(
    val time: Duration,
    val entryIndex: Int,
    val accountIndex: Int,
    val request: RoutingRequest,
    val outputTokens: Int,
)

/** Generates the requests of a run. Each account has its own random numbers, so its rate does not affect others. */
internal class ArrivalSource(
    private val workload: Workload,
    private val load: Double,
    private val condition: Condition,
) {
    /** Returns the arrivals of all accounts in time order. */
    fun arrivals(seed: Int): List<Arrival> = workload.accountShares.indices
        .flatMap { accountArrivals(it, Random(seed * SEED_FACTOR + it)) }
        .sortedBy { it.time }

    /** Generates a Poisson process. */
    private fun accountArrivals(accountIndex: Int, random: Random): List<Arrival> {
        val factor = if (condition.noisyAccount == accountIndex) NOISY_RATE_FACTOR else 1.0
        val requestsPerSecond =
            workload.requestsPerSecondAtCapacity * load * workload.accountShares[accountIndex] * factor
        var time = Duration.ZERO
        return buildList {
            while (time < Condition.RunDuration) {
                time += (-ln(1 - random.nextDouble()) / requestsPerSecond).seconds
                add(arrival(accountIndex, time, size, random))
            }
        }
    }

    private fun arrival(accountIndex: Int, time: Duration, requestNumber: Int, random: Random): Arrival {
        val kind = workload.kinds[weightedIndex(workload.kinds.map { it.share }, random)]
        val shiftCount = condition.popularityShifts.count { it <= time }
        val suffixTokens = kind.suffixTokens.random(random)
        val pieces = ArrayList<Long>()
        var prefixHash = accountIndex + 1L
        workload.levels.take(kind.levelCount).forEach { level ->
            val rank = weightedIndex(List(level.childCount) { (it + 1.0).pow(-level.zipfExponent) }, random)
            // Each shift moves the popularity ranks by half of the continuations.
            prefixHash = chainHash(prefixHash, (rank + shiftCount * (level.childCount / 2 + 1L)) % level.childCount)
            repeat(level.pieces) {
                prefixHash = chainHash(prefixHash, it.toLong())
                pieces += prefixHash
            }
        }
        val prefixTokens = pieces.size * workload.pieceTokens
        repeat(suffixTokens / workload.pieceTokens) { pieces += random.nextLong() }
        val requestId = "$accountIndex-$requestNumber"
        val request = RoutingRequest(
            requestId = requestId,
            clientAccount = "account$accountIndex",
            model = MODEL,
            weights = WEIGHTS,
            pieceNames = pieces,
            pieceTokens = workload.pieceTokens,
            promptTokens = prefixTokens + suffixTokens,
            priority = kind.priority,
        )
        return Arrival(time, random.nextInt(workload.entryCount), accountIndex, request, kind.outputTokens)
    }

    /** Draws an index with a probability in proportion to its weight. */
    private fun weightedIndex(weights: List<Double>, random: Random): Int {
        var remainingWeight = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight ->
            remainingWeight -= weight
            remainingWeight < 0
        }.coerceAtLeast(0)
    }

    private fun chainHash(prefixHash: Long, value: Long): Long = Random(prefixHash * SEED_FACTOR + value).nextLong()

    companion object {
        const val MODEL = "model"
        const val WEIGHTS = "weights"
        private const val NOISY_RATE_FACTOR = 5.0
        private const val SEED_FACTOR = 1_000_003
    }
}
