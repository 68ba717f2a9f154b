package org.celerywalk.gateway.admission

import org.celerywalk.admission.Admission
import org.celerywalk.admission.AdmissionQueue
import org.celerywalk.admission.AdmissionRequest
import org.celerywalk.admission.FairShares
import org.celerywalk.admission.ReturnTimes
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.callers.CallerExchange
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admission to the replicas of one [service]. */
internal class ServiceGate(
    private val state: FleetState,
    val service: String,
    weightOf: (account: String) -> Double,
) {
    val shares = FairShares(state.timeSource, weightOf = weightOf)
    private val returnTimes = ReturnTimes(state.timeSource, Random.Default)
    val queue = AdmissionQueue(state.timeSource, shares, returnTimes, Random.Default)
    private val estimates = ConcurrentHashMap<AdmissionRequest, () -> ExpectedRoom>()
    private val releaseLock = ReentrantLock()
    private var releasedAt = state.timeSource.markNow()

    @Volatile
    private var costsRecordedAt = state.timeSource.markNow() - COSTS_INTERVAL

    /** Time since the costs that gateways have admitted were last taken into account. */
    val costsAge: Duration get() = costsRecordedAt.elapsedNow()

    /** Takes the costs that this gateway and its peers have admitted into account, at most once per interval. */
    fun recordCosts() {
        if (costsRecordedAt.elapsedNow() < COSTS_INTERVAL) return
        costsRecordedAt = state.timeSource.markNow()
        state.quotas.forEach { (account, quota) ->
            shares.recordCosts(account, quota.totalAdmittedCost, quota.totalPeerCost)
        }
    }

    /** Waits for the decision about [request]; returns [Admission.Waiting] if [exchange] is cancelled before. */
    fun awaitDecision(
        exchange: CallerExchange,
        request: AdmissionRequest,
        estimateRoom: () -> ExpectedRoom,
    ): Admission {
        estimates[request] = estimateRoom
        try {
            var decision: Admission = Admission.Waiting
            while (decision == Admission.Waiting && !exchange.awaitCancellation(CHECK_INTERVAL)) {
                releaseNext()
                decision = queue.poll(request)
            }
            return decision
        } finally {
            estimates.remove(request)
            queue.remove(request)
        }
    }

    // One waiting thread at a time releases at most one request, so that the next estimate includes its work.
    private fun releaseNext() {
        if (!releaseLock.tryLock()) return
        try {
            if (releasedAt.elapsedNow() < RELEASE_INTERVAL) return
            releasedAt = state.timeSource.markNow()
            queue.releaseNext({ estimates[it]?.invoke()?.timeToStart }, limit = 1)
        } finally {
            releaseLock.unlock()
        }
    }

    private companion object {
        val COSTS_INTERVAL = 250.milliseconds

        // 24 waiting threads wake up 1,200 times a second together, which takes about 1 % of a core.
        val CHECK_INTERVAL = 20.milliseconds

        // An estimate takes up to 0.1 ms, so that estimates take at most 2 % of the time.
        val RELEASE_INTERVAL = 5.milliseconds
    }
}
