package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds

/**
 * Answers to requests with one prompt part. An answer shows that the part is sound, unless its endpoint crashes within
 * [PROOF_TIME] of its beginning. Not thread-safe.
 */
internal class PartAnswers {
    private val unproven = HashMap<String, ComparableTimeMark>()

    /** Beginning of the last answer that its endpoint has outlived, or null if there is none. */
    var provenAt: ComparableTimeMark? = null
        private set

    private var previousProvenAt: ComparableTimeMark? = null

    /** Beginnings of the later answers by the start of their endpoint. */
    val unprovenAt: Map<String, ComparableTimeMark> get() = unproven

    /** Adds an answer that [endpointStart] began [at] a time; returns true if it is later than those known. */
    fun add(endpointStart: String, at: ComparableTimeMark): Boolean {
        val previousAt = unproven[endpointStart]
        if (previousAt != null && previousAt >= at) return false
        if (previousAt != null && at - previousAt >= PROOF_TIME) addProven(previousAt)
        unproven[endpointStart] = at
        return true
    }

    /** Adds an answer that its endpoint has outlived; returns true if it is later than those known. */
    fun addProven(at: ComparableTimeMark): Boolean {
        val lastAt = provenAt
        val isLater = lastAt == null || at > lastAt
        previousProvenAt = if (isLater) lastAt else maxOf(at, previousProvenAt ?: at)
        if (isLater) provenAt = at
        return isLater
    }

    /** Takes back the answer that the start [endpointStart] began shortly before it crashed at [lostAt], if any. */
    fun takeBack(endpointStart: String, lostAt: ComparableTimeMark): Boolean {
        val isTakenBack = unproven[endpointStart]?.let { isTakenBack(it, lostAt) } ?: false
        if (isTakenBack) unproven -= endpointStart
        return isTakenBack
    }

    /** Counts the answers as proven whose endpoints have outlived them. */
    fun settle() {
        val proven = unproven.filterValues { it.elapsedNow() >= PROOF_TIME }
        proven.values.forEach { addProven(it) }
        unproven -= proven.keys
    }

    /** Beginning of the last answer that was not taken back, or null if there is none. */
    val lastAt: ComparableTimeMark? get() = (unproven.values + listOfNotNull(provenAt)).maxOrNull()

    /** Beginnings of the last two answers that were not taken back, the last one first. */
    val lastTwoAt: List<ComparableTimeMark>
        get() = (unproven.values + listOfNotNull(provenAt, previousProvenAt)).sortedDescending().take(2)

    companion object {
        // An endpoint that a part crashes may send some of its answer, or all of a short one.
        val PROOF_TIME = 1.seconds

        /** Returns true if the crash of an endpoint at [lostAt] takes back its answer that began at [beganAt]. */
        fun isTakenBack(beganAt: ComparableTimeMark, lostAt: ComparableTimeMark): Boolean =
            beganAt <= lostAt && lostAt - beganAt < PROOF_TIME
    }
}
