package org.celerywalk.routing

import org.celerywalk.endpoint.EndpointHealth
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Sums up the work that is at an endpoint.
 *
 * @property calls calls without a final answer.
 * @property unreadTokens prompt tokens that the endpoint still has to read, without the deferred ones.
 * @property cacheTokens KV cache memory that the calls take in the end.
 * @property deferredTokens prompt tokens that it reads once it has nothing else to read.
 * @property deferredCalls those of [calls] that yield their slots to others.
 * @property deferredCacheTokens part of [cacheTokens] that the deferred calls yield to others.
 */
public data class Work(
    val calls: Int = 0,
    val unreadTokens: Long = 0,
    val cacheTokens: Long = 0,
    val deferredTokens: Long = 0,
    val deferredCalls: Int = 0,
    val deferredCacheTokens: Long = 0,
) {
    /** The same work if it yields to others. */
    public fun deferred(): Work = Work(
        calls = calls,
        cacheTokens = cacheTokens,
        deferredTokens = unreadTokens + deferredTokens,
        deferredCalls = calls,
        deferredCacheTokens = cacheTokens,
    )

    /** The part that does not yield. */
    public fun withoutDeferred(): Work = Work(calls - deferredCalls, unreadTokens, cacheTokens - deferredCacheTokens)

    public operator fun plus(other: Work): Work = combine(other, sign = 1)

    public operator fun minus(other: Work): Work = combine(other, sign = -1)

    private fun combine(other: Work, sign: Int) = Work(
        calls + sign * other.calls,
        unreadTokens + sign * other.unreadTokens,
        cacheTokens + sign * other.cacheTokens,
        deferredTokens + sign * other.deferredTokens,
        deferredCalls + sign * other.deferredCalls,
        deferredCacheTokens + sign * other.deferredCacheTokens,
    )
}

/**
 * Tracks the work at one endpoint: this process's own calls exactly, those of other processes by their reports.
 * Safe for use from several threads.
 *
 * @param reportsHoldFor time for which a report of another process counts.
 */
public class EndpointLoad(
    private val timeSource: TimeSource.WithComparableMarks,
    private val reportsHoldFor: Duration,
    public val health: EndpointHealth,
) {
    private var own = Work()
    private val others = HashMap<String, Pair<Work, ComparableTimeMark>>()
    private val serviceTime = MovingDuration(INITIAL_SERVICE_TIME)
    private var versions = emptyMap<String, Int>()
    private var changesWeightsUntil: ComparableTimeMark? = null

    /** Work of this process's own calls. */
    public val ownWork: Work
        @Synchronized get() = own

    /** Average time of a call of this process until its answer. */
    public val averageServiceTime: Duration
        @Synchronized get() = serviceTime.value

    /** True while the endpoint is known to change its weights. */
    public val changesWeights: Boolean
        @Synchronized get() = changesWeightsUntil?.hasNotPassedNow() ?: false

    /** Work of all processes. */
    @Synchronized
    public fun work(): Work {
        others.values.removeIf { (_, at) -> at.elapsedNow() > reportsHoldFor }
        return others.values.fold(own) { sum, (work, _) -> sum + work }
    }

    /** Adds work of an own call. */
    @Synchronized
    public fun add(work: Work) {
        own += work
    }

    /** Removes work of an own call. */
    @Synchronized
    public fun remove(work: Work) {
        own -= work
    }

    /** Records the time that a call took until its answer. */
    @Synchronized
    public fun answeredAfter(time: Duration) {
        serviceTime.add(time)
    }

    /** Records the work that process [peer] has at the endpoint. */
    @Synchronized
    public fun reported(peer: String, work: Work) {
        others[peer] = work to timeSource.markNow()
    }

    /** Weights version of [model], or null if it is not known. A version of one start of an endpoint only grows. */
    @Synchronized
    public fun version(model: String): Int? = versions[model]

    /** Records that the endpoint has weights [version] of [model]. */
    @Synchronized
    public fun sawVersion(model: String, version: Int) {
        if (version > (versions[model] ?: 0)) versions = versions + (model to version)
    }

    /** True while an order of this process for new weights is in progress. */
    @Volatile
    public var ordered: Boolean = false

    /** Records that the endpoint takes new weights, for at most [atMost]. */
    @Synchronized
    public fun startedWeightChange(atMost: Duration) {
        changesWeightsUntil = timeSource.markNow() + atMost
    }

    /** Records that the weight change has ended. */
    @Synchronized
    public fun endedWeightChange() {
        changesWeightsUntil = null
    }

    private companion object {
        val INITIAL_SERVICE_TIME = 30.milliseconds
    }
}

/** Averages durations, recent ones more than old ones. */
internal class MovingDuration(initial: Duration) {
    var value: Duration = initial
        private set

    fun add(sample: Duration) {
        value += (sample - value) * SMOOTHING
    }

    private companion object {
        const val SMOOTHING = 0.1
    }
}
