package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Evidence about one prompt part. Not thread-safe. */
internal class SuspectPart {
    private val crashes = HashMap<String, Crash>()
    private val crashesWhileServing = HashSet<String>()
    private val ownAnswers = PartAnswers()
    private val peerAnswers = PartAnswers()
    private var ownTrialAt: ComparableTimeMark? = null
    private var peerTrialAt: ComparableTimeMark? = null

    // Null after a change of the crashes or answers.
    private var currentVerdict: PartVerdict? = null

    /** What the evidence shows. */
    val verdict: PartVerdict
        get() = currentVerdict ?: PartVerdict(
            // A peer repeats its reports, so that two of its answers can't be told from one.
            (ownAnswers.lastTwoAt + listOfNotNull(peerAnswers.lastAt)).sortedDescending(),
            crashes,
            crashesWhileServing,
        ).also { currentVerdict = it }

    val isQuarantined: Boolean get() = verdict.isToBlame && !isExpired

    /** Time of the last answer that this instance received, or null if it has received none. */
    val ownAnswerAt: ComparableTimeMark? get() = ownAnswers.lastAt

    /** Number of separate crashes since the last answer. */
    val crashCount: Int get() = verdict.separateCrashes.size

    /** Time of the last crash or answer, or null if there was none. */
    val lastChangeAt: ComparableTimeMark? get() = listOfNotNull(verdict.lastCrashAt, verdict.answeredAt).maxOrNull()

    /** True if the evidence is too old to count. */
    val isExpired: Boolean
        get() {
            val age = lastChangeAt?.elapsedNow() ?: Duration.INFINITE
            return age > if (verdict.activeCrashes.isEmpty()) CLEARED_RETENTION else SUSPICION_RETENTION
        }

    /** True if a request with the part was tried after the last crash, with an outcome that is not known. */
    val isOnTrial: Boolean get() = triedAt?.let { tried -> verdict.lastCrashAt?.let { tried >= it } } ?: false

    /** Time until a request with the part may be tried, zero or less if it may be now. */
    val timeUntilTrial: Duration
        get() = listOfNotNull(triedAt, verdict.lastCrashAt).maxOrNull()
            ?.let { verdict.backoff - it.elapsedNow() } ?: Duration.ZERO

    /** True if the instance that owns the trial has not begun it for a second backoff; it may get no such request. */
    val isTrialOverdue: Boolean get() = timeUntilTrial <= -verdict.backoff

    /** The evidence that is enough to keep the part in quarantine: its separate crashes. */
    val lastingEvidence: PartEvidence
        get() = PartEvidence(verdict.separateCrashes.mapValues { (_, crash) -> CrashAges(crash.lostAt.elapsedNow()) })

    private val triedAt: ComparableTimeMark? get() = listOfNotNull(ownTrialAt, peerTrialAt).maxOrNull()

    /**
     * Adds the [crash] of the endpoint start [endpointStart], which takes back the answers that it had just begun;
     * returns false if it is known already or out of date.
     *
     * @param isOwn whether this instance has observed the crash.
     * @param isServing returns whether the fleet goes on to answer other parts that were lost with this one before.
     */
    fun addCrash(endpointStart: String, crash: Crash, isOwn: Boolean, isServing: () -> Boolean): Boolean {
        val isOwnTakenBack = ownAnswers.takeBack(endpointStart, crash.lostAt)
        val isPeersTakenBack = peerAnswers.takeBack(endpointStart, crash.lostAt)
        if (isOwnTakenBack || isPeersTakenBack) currentVerdict = null
        val known = crashes[endpointStart]
        val narrowed = when {
            known == null -> crash
            isOwn -> known.narrowedBy(crash)
            // The times of a late report are shifted towards the present.
            else -> minOf(known, crash, compareBy { it.lostAt })
        }
        if (narrowed != known) {
            if (known == null && isServing()) crashesWhileServing += endpointStart
            crashes[endpointStart] = narrowed
            dropOldest()
            currentVerdict = null
        }
        return known == null && endpointStart in verdict.activeCrashes
    }

    // Refusing later crashes instead would let the evidence expire while the part goes on to crash endpoints.
    private fun dropOldest() {
        if (crashes.size <= MAX_CRASHES) return
        val oldest = crashes.minBy { it.value.lostAt }.key
        crashes -= oldest
        crashesWhileServing -= oldest
    }

    /** Adds an answer of this instance, which clears the part of earlier crashes; returns true if there were any. */
    fun addOwnAnswer(endpointStart: String, at: ComparableTimeMark): Boolean {
        val previousCount = verdict.activeCrashes.size
        // The outcome of the trial is known.
        ownTrialAt = null
        if (ownAnswers.add(endpointStart, at)) currentVerdict = null
        return verdict.activeCrashes.size < previousCount
    }

    /** Adds an answer of a peer, which can't be taken back if [endpointStart] is null. */
    fun addPeerAnswer(endpointStart: String?, at: ComparableTimeMark) {
        val isNew = when {
            endpointStart == null -> peerAnswers.addProven(at)
            crashes[endpointStart]?.let { PartAnswers.isTakenBack(at, it.lostAt) } ?: false -> false
            else -> peerAnswers.add(endpointStart, at)
        }
        if (isNew) currentVerdict = null
    }

    fun addTrial(at: ComparableTimeMark, isOwn: Boolean) {
        if (isOwn) ownTrialAt = at else peerTrialAt = maxOf(peerTrialAt ?: at, at)
    }

    /** Takes back the last trial of this instance; trials of its peers still count. */
    fun withdrawTrial() {
        ownTrialAt = null
    }

    /** Returns true if [other] may be to blame for all crashes of this part, which then need not be harmful itself. */
    fun isExplainedBy(other: SuspectPart): Boolean =
        other.verdict.activeCrashes.keys.containsAll(verdict.activeCrashes.keys)

    /** Returns true if a crash since the last answer to [other] was also one under this part. */
    fun wasLostWith(other: SuspectPart): Boolean = other.verdict.activeCrashes.keys.any { it in crashes }

    /** Counts the answers as proven whose endpoints have outlived them. */
    fun settleAnswers() {
        ownAnswers.settle()
        peerAnswers.settle()
    }

    fun toEvidence(): PartEvidence = PartEvidence(
        crashes.mapValues { (_, crash) -> crash.toAges() },
        ownAnswers.provenAt?.elapsedNow(),
        ownAnswers.unprovenAt.mapValues { (_, at) -> at.elapsedNow() },
        ownTrialAt?.elapsedNow(),
    )

    private companion object {
        // Bounds the evidence about one part; the backoff has reached its maximum well before.
        const val MAX_CRASHES = 16

        // Reports of a crash may arrive this much later than the answer that clears the part of it.
        val CLEARED_RETENTION = 30.seconds
        val SUSPICION_RETENTION = 20.minutes
    }
}
