package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Evidence about one prompt part. Not thread-safe. */
internal class SuspectPart {
    private val crashedAt = HashMap<String, ComparableTimeMark>()
    private var answeredAt: ComparableTimeMark? = null
    private var ownTrialAt: ComparableTimeMark? = null
    private var peerTrialAt: ComparableTimeMark? = null

    /** Time of the last answer that this instance received, or null if it has received none. */
    var ownAnswerAt: ComparableTimeMark? = null
        private set

    /** Number of crashes since the last answer. */
    val crashCount: Int get() = activeCrashes.size

    val isQuarantined: Boolean get() = crashCount >= MIN_CRASHES && !isExpired()

    /** Time of the last crash or answer. */
    val lastChangeAt: ComparableTimeMark? get() = (crashedAt.values + listOfNotNull(answeredAt)).maxOrNull()

    /** Adds the crash of the endpoint start [endpointStart]; returns false if it is known already or out of date. */
    fun addCrash(endpointStart: String, at: ComparableTimeMark): Boolean {
        val isCleared = answeredAt?.let { it >= at } ?: false
        if (isCleared || endpointStart in crashedAt) return false
        crashedAt[endpointStart] = at
        // Refusing later crashes instead would let the evidence expire while the part goes on to crash endpoints.
        if (crashedAt.size > MAX_CRASHES) crashedAt -= crashedAt.minBy { it.value }.key
        return endpointStart in crashedAt
    }

    /** Adds an answer, which clears the part of the crashes before it; returns true if there were any. */
    fun addAnswer(at: ComparableTimeMark, isOwn: Boolean): Boolean {
        if (isOwn) ownAnswerAt = at
        val previousCount = crashCount
        answeredAt = maxOf(answeredAt ?: at, at)
        return crashCount < previousCount
    }

    fun addTrial(at: ComparableTimeMark, isOwn: Boolean) {
        if (isOwn) ownTrialAt = at else peerTrialAt = maxOf(peerTrialAt ?: at, at)
    }

    /** Takes back the last trial of this instance; trials of its peers still count. */
    fun withdrawTrial() {
        ownTrialAt = null
    }

    /** Returns true if [other] may be to blame for all crashes of this part, which then need not be harmful itself. */
    fun isExplainedBy(other: SuspectPart): Boolean = other.activeCrashes.containsAll(activeCrashes)

    /** True if a request with the part was tried after the last crash, with an outcome that is not known. */
    val isOnTrial: Boolean get() = triedAt?.let { it >= lastCrashAt() } ?: false

    /** Returns the time until a request with the part may be tried, zero or less if it may be now. */
    fun timeUntilTrial(): Duration {
        val lastTriedAt = maxOf(triedAt ?: lastCrashAt(), lastCrashAt())
        return backoff() - lastTriedAt.elapsedNow()
    }

    /** Returns true if the evidence is too old to count. */
    fun isExpired(): Boolean {
        val age = lastChangeAt?.elapsedNow() ?: Duration.INFINITE
        return age > if (crashCount == 0) CLEARED_RETENTION else SUSPICION_RETENTION
    }

    /** True if the instance that owns the trial has not begun it for a second backoff; it may get no such request. */
    val isTrialOverdue: Boolean get() = timeUntilTrial() <= -backoff()

    fun toEvidence(): PartEvidence = PartEvidence(
        crashedAt.mapValues { (_, at) -> at.elapsedNow() },
        ownAnswerAt?.elapsedNow(),
        ownTrialAt?.elapsedNow(),
    )

    private val triedAt: ComparableTimeMark? get() = listOfNotNull(ownTrialAt, peerTrialAt).maxOrNull()

    private val activeCrashes: Set<String>
        get() = crashedAt.filterValues { at -> answeredAt?.let { at > it } ?: true }.keys

    private fun lastCrashAt() = crashedAt.values.max()

    private fun backoff(): Duration {
        val doublings = ((crashCount - MIN_CRASHES) * DOUBLINGS_PER_CRASH).coerceIn(0, MAX_DOUBLINGS)
        return minOf(MIN_BACKOFF * (1 shl doublings), MAX_BACKOFF)
    }

    private companion object {
        // One crash under a request says little; the request's other parts and other requests may be to blame.
        const val MIN_CRASHES = 2

        // Bounds the evidence about one part; the backoff has reached its maximum well before.
        const val MAX_CRASHES = 16
        val MIN_BACKOFF = 5.seconds

        // Each crash makes the backoff four times as long.
        const val DOUBLINGS_PER_CRASH = 2
        const val MAX_DOUBLINGS = 8
        val MAX_BACKOFF = 10.minutes

        // Reports of a crash may arrive this much later than the answer that clears the part of it.
        val CLEARED_RETENTION = 30.seconds
        val SUSPICION_RETENTION = 20.minutes
    }
}
