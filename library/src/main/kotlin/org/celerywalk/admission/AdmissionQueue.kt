package org.celerywalk.admission

import java.util.IdentityHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Decides which requests of a service are sent, wait or are refused. Thread-safe.
 *
 * A request that finds room is admitted at once unless a waiting request comes before it. Waiting requests come in the
 * order of their rank, then of the service of their account, then of their latest start, then of their work. A less
 * urgent request finds no room while more urgent ones lack it, and an account that has had more than its share leaves
 * a part of the room to the others.
 *
 * @param maxWaiting maximum number of requests that wait.
 */
public class AdmissionQueue(
    private val timeSource: TimeSource.WithComparableMarks,
    private val shares: FairShares,
    private val returnTimes: ReturnTimes,
    private val random: Random,
    private val maxWaiting: Int = MAX_WAITING,
) {
    private val order = AdmissionOrder(shares)
    private val shortages = RankShortages(timeSource)
    private val waiting = ArrayList<AdmissionRequest>()
    private val decisions = IdentityHashMap<AdmissionRequest, Admission>()

    /**
     * Requests of this rank or a more urgent one are sent without room, late, unless their account has had more than
     * its share and others lack room. A negative number means none.
     */
    @Volatile
    public var lateRank: Int = -1

    /** Number of waiting requests. */
    public val size: Int @Synchronized get() = waiting.size

    /**
     * Decides about [request], which a replica is expected to start after [timeToStart], or not at all if that is null.
     * If the request has to wait, [poll] returns its decision later.
     */
    @Synchronized
    public fun offer(request: AdmissionRequest, timeToStart: Duration?): Admission {
        // Gateways that know each other's work late would otherwise all send below the limit and none above it.
        val longest = roomFor(request, MAX_ROOM)
        val room = roomFor(request, MIN_ROOM + (MAX_ROOM - MIN_ROOM) * random.nextDouble())
        val hasRoom = timeToStart != null && timeToStart <= room
        if (timeToStart == null || timeToStart > longest) {
            shortages.record(request.rank, isWithinShare = !shares.isAboveShare(request.account))
        }
        val isFirst = !mustYield(request) && waiting.none { order.compare(it, request) < 0 }
        return when {
            hasRoom && isFirst -> admit(request, isLate = false)
            request.rank <= lateRank && isFirst -> admit(request, isLate = true)
            timeToStart == null || timeToStart > request.latestStart - timeSource.markNow() ->
                refuse(request, RefusalReason.NO_ROOM, timeToStart?.minus(longest))
            timeToStart - longest > request.maxWait ->
                refuse(request, RefusalReason.OTHERS_FIRST, timeToStart - longest)
            else -> enqueue(request, timeToStart)
        }
    }

    /**
     * Refuses the requests that have waited too long, then removes and returns at most [limit] requests that have room.
     *
     * The estimate does not include the requests that this call releases; a low limit bounds the over-commitment.
     */
    @Synchronized
    public fun releaseNext(room: RoomEstimate, limit: Int = Int.MAX_VALUE): List<AdmissionRequest> {
        refuseExpired()
        return buildList {
            while (size < limit) {
                val next = waiting.minWithOrNull(order)
                val timeToStart = next?.takeUnless(::mustYield)?.let(room::timeToStart)
                if (next == null || timeToStart == null || timeToStart > roomFor(next, MAX_ROOM)) break
                waiting.remove(next)
                decisions[next] = admit(next, isLate = false)
                add(next)
            }
        }
    }

    /** Returns the decision about a request that waits or has waited; each other decision than to wait only once. */
    @Synchronized
    public fun poll(request: AdmissionRequest): Admission {
        refuseExpired()
        return decisions.remove(request) ?: Admission.Waiting
    }

    /** Removes [request], whose caller has left or whose gateway stops. */
    @Synchronized
    public fun remove(request: AdmissionRequest) {
        waiting.remove(request)
        if (decisions.remove(request) is Admission.Admitted) {
            shares.withdraw(request.account, request.rank, request.work)
        }
    }

    private fun enqueue(request: AdmissionRequest, timeToStart: Duration): Admission {
        if (waiting.size >= maxWaiting) {
            val last = waiting.maxWith(order)
            if (order.compare(request, last) >= 0) return refuse(request, RefusalReason.QUEUE_FULL, timeToStart)
            waiting.remove(last)
            decisions[last] = refuse(last, RefusalReason.QUEUE_FULL, timeToStart)
        }
        waiting += request
        return Admission.Waiting
    }

    private fun refuseExpired() {
        val now = timeSource.markNow()
        waiting.removeAll { request ->
            val reason = when {
                now > request.latestStart -> RefusalReason.NO_ROOM
                now - request.arrivedAt > request.maxWait -> RefusalReason.WAITED_TOO_LONG
                else -> null
            }
            reason?.let { decisions[request] = refuse(request, it, null) }
            reason != null
        }
    }

    private fun admit(request: AdmissionRequest, isLate: Boolean): Admission {
        shares.recordAdmitted(request.account, request.rank, request.work)
        returnTimes.recordAdmitted(request.work)
        return Admission.Admitted(isLate)
    }

    private fun refuse(request: AdmissionRequest, reason: RefusalReason, timeToRoom: Duration?): Admission =
        Admission.Refused(reason, returnTimes.next(request.work, timeToRoom ?: Duration.ZERO))

    // Time that the work ahead of a request may take.
    private fun roomFor(request: AdmissionRequest, share: Double): Duration =
        (request.latestStart - timeSource.markNow()) * share *
            if (shares.isAboveShare(request.account)) ABOVE_SHARE_ROOM else 1.0

    private fun mustYield(request: AdmissionRequest): Boolean = shortages.isMoreUrgentShort(request.rank) ||
        shortages.isShareShort(request.rank) && shares.isAboveShare(request.account)

    private companion object {
        // Each waiting request holds a thread of the server and its body.
        const val MAX_WAITING = 24

        // Part of the time to the latest start that the work ahead of a request may take, drawn for each request. The
        // rest covers the error of the estimate and what other gateways send before they report it.
        const val MIN_ROOM = 0.4
        const val MAX_ROOM = 0.9

        // Factor for an account above its share. The difference is the room that it leaves to the others.
        const val ABOVE_SHARE_ROOM = 0.55
    }
}
