package org.celerywalk.routing

import org.celerywalk.endpoint.EndpointHealth
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Sums up the outstanding work at an endpoint.
 *
 * @property calls number of calls without a final answer.
 * @property queuedPrefillTokens prompt tokens of calls that are not deferred and whose prefill is outstanding.
 * @property cacheTokens KV cache tokens that the calls occupy by the time that they end.
 * @property deferredPrefillTokens prompt tokens whose prefill runs only when the endpoint has no other prefill.
 * @property deferredCalls number of those [calls] that yield their slots to calls that are not deferred.
 * @property deferredCacheTokens part of [cacheTokens] that the deferred calls yield to calls that are not deferred.
 */
public data class EndpointWork(
    val calls: Int = 0,
    val queuedPrefillTokens: Long = 0,
    val cacheTokens: Long = 0,
    val deferredPrefillTokens: Long = 0,
    val deferredCalls: Int = 0,
    val deferredCacheTokens: Long = 0,
) {
    /** Returns the same work with all its calls deferred. */
    public fun asDeferred(): EndpointWork = EndpointWork(
        calls = calls,
        cacheTokens = cacheTokens,
        deferredPrefillTokens = queuedPrefillTokens + deferredPrefillTokens,
        deferredCalls = calls,
        deferredCacheTokens = cacheTokens,
    )

    /** Returns the part of the work that is not deferred. */
    public fun withoutDeferred(): EndpointWork =
        EndpointWork(calls - deferredCalls, queuedPrefillTokens, cacheTokens - deferredCacheTokens)

    public operator fun plus(other: EndpointWork): EndpointWork = combine(other, sign = 1)

    public operator fun minus(other: EndpointWork): EndpointWork = combine(other, sign = -1)

    private fun combine(other: EndpointWork, sign: Int) = EndpointWork(
        calls + sign * other.calls,
        queuedPrefillTokens + sign * other.queuedPrefillTokens,
        cacheTokens + sign * other.cacheTokens,
        deferredPrefillTokens + sign * other.deferredPrefillTokens,
        deferredCalls + sign * other.deferredCalls,
        deferredCacheTokens + sign * other.deferredCacheTokens,
    )
}

/**
 * Work at an endpoint as a generation of one rank finds it.
 *
 * @property ahead work that a generation in time waits for: that of the same and of more urgent ranks, if not deferred.
 * @property aheadIfDeferred work that a deferred generation waits for.
 * @property total all work.
 */
public class WorkAhead(
    public val ahead: EndpointWork,
    public val aheadIfDeferred: EndpointWork,
    public val total: EndpointWork,
)

/**
 * Tracks the work at one endpoint: the exact work of this process and the last reported work of its peers.
 * This class is thread-safe.
 */
public class EndpointLoad(
    private val timeSource: TimeSource.WithComparableMarks,
    public val health: EndpointHealth,
) {
    private val localWork = Array(Rank.COUNT) { EndpointWork() }
    private val totalWork = Array(Rank.COUNT) { EndpointWork() }
    private val workByPeer = HashMap<String, RankedWork>()
    private val serviceTime = DurationMovingAverage(INITIAL_SERVICE_TIME)
    private var weightsVersions = emptyMap<String, Int>()
    private var weightChangeDeadline: ComparableTimeMark? = null

    /** Work of the calls of this process. */
    public val ownWork: EndpointWork
        @Synchronized get() = localWork.fold(EndpointWork(), EndpointWork::plus)

    /** Work of the calls of this process by rank. */
    public val ownRankedWork: RankedWork
        @Synchronized get() = RankedWork(
            localWork.withIndex().filter { it.value.calls > 0 }.associate { it.index to it.value },
        )

    /** Pace of this endpoint if it is a model replica. */
    public val firstTokenPace: FirstTokenPace = FirstTokenPace(timeSource)

    /** Exponential moving average of the time that calls of this process take to be answered. */
    public val averageServiceTime: Duration
        @Synchronized get() = serviceTime.value

    /** True while the endpoint is known to be loading other weights. */
    public val isChangingWeights: Boolean
        @Synchronized get() = weightChangeDeadline?.hasNotPassedNow() ?: false

    /** Returns the work of this process and of its peers. */
    @Synchronized
    public fun work(): EndpointWork = totalWork.fold(EndpointWork(), EndpointWork::plus)

    /** Returns the work of this process and of its peers as a generation of [rank] finds it. */
    @Synchronized
    public fun workFor(rank: Int): WorkAhead {
        var ahead = EndpointWork()
        var aheadIfDeferred = EndpointWork()
        var total = EndpointWork()
        totalWork.forEachIndexed { index, work ->
            if (work == NO_WORK) return@forEachIndexed
            total += work
            if (index <= rank) {
                ahead += work.withoutDeferred()
                aheadIfDeferred += work
            } else {
                aheadIfDeferred += work.withoutDeferred()
            }
        }
        return WorkAhead(ahead, aheadIfDeferred, total)
    }

    /** Adds the work of a call of this process with [rank]. */
    @Synchronized
    public fun add(work: EndpointWork, rank: Int = Rank.MOST_URGENT) {
        localWork[rank] += work
        totalWork[rank] += work
    }

    /** Removes the work of a call of this process with [rank]. */
    @Synchronized
    public fun remove(work: EndpointWork, rank: Int = Rank.MOST_URGENT) {
        localWork[rank] -= work
        totalWork[rank] -= work
    }

    /** Records the time that a call took to be answered. */
    @Synchronized
    public fun recordServiceTime(time: Duration) {
        serviceTime.add(time)
    }

    /** Records the work that the process [peer] has at this endpoint; replaces its last report. */
    @Synchronized
    internal fun recordPeerWork(peer: String, work: RankedWork) {
        val previousWork = if (work.byRank.isEmpty()) workByPeer.remove(peer) else workByPeer.put(peer, work)
        previousWork?.byRank?.forEach { (rank, part) -> totalWork[rank] -= part }
        work.byRank.forEach { (rank, part) -> totalWork[rank] += part }
    }

    /** Returns the weights version of [model], or null if unknown. It never decreases until the endpoint restarts. */
    @Synchronized
    public fun version(model: String): Int? = weightsVersions[model]

    /** Records that the endpoint runs weights [version] of [model]; an older version is ignored. */
    @Synchronized
    public fun recordWeightsVersion(model: String, version: Int) {
        if (version > (weightsVersions[model] ?: 0)) weightsVersions = weightsVersions + (model to version)
    }

    /** True while a weight change that this process ordered is in progress. */
    @Volatile
    public var hasPendingWeightOrder: Boolean = false

    /** Records that the endpoint starts to load new weights; the record expires after [maxDuration]. */
    @Synchronized
    public fun recordWeightChangeStart(maxDuration: Duration) {
        weightChangeDeadline = timeSource.markNow() + maxDuration
    }

    /** Records that the weight change has ended. */
    @Synchronized
    public fun recordWeightChangeEnd() {
        weightChangeDeadline = null
    }

    private companion object {
        val INITIAL_SERVICE_TIME = 30.milliseconds
        val NO_WORK = EndpointWork()
    }
}

/** Calculates an exponential moving average of durations. */
internal class DurationMovingAverage(initial: Duration) {
    var value: Duration = initial
        private set

    fun add(sample: Duration) {
        value += (sample - value) * SMOOTHING_FACTOR
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.1
    }
}
