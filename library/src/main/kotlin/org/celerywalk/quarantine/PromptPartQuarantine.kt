package org.celerywalk.quarantine

import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Keeps requests from endpoints if a part of their prompt crashes each endpoint that answers it (a query of death).
 *
 * A crash counts against the parts of all requests that the endpoint had received and not begun to answer. The
 * beginning of an answer clears the parts of its request, since a harmful part never gets one. A part with a second
 * crash and no answer in between is quarantined: requests with it are refused, but for one on trial after a backoff
 * that grows with the number of crashes, or at once if another part may be to blame. An answer ends the quarantine.
 *
 * Parts are known by name; those with names of more than 64 characters are never quarantined.
 *
 * Instances exchange their [evidence], and each decides by all of it; a crash that several instances report counts
 * once. Safe for use from several threads.
 */
public class PromptPartQuarantine(private val timeSource: TimeSource.WithComparableMarks) {
    private val suspects = SuspectParts()

    // Read without the lock for each request and event, nearly all of which concern no suspect part.
    @Volatile
    private var hasSuspects = false

    /** Number of changes of the evidence, which tells whether peers should be sent it again. */
    @Volatile
    public var revision: Long = 0
        private set

    /** Evidence about the parts in quarantine. */
    public val quarantinedParts: Map<String, PartEvidence>
        @Synchronized get() = suspects.quarantined().mapValues { (_, suspect) -> suspect.toEvidence() }

    /**
     * Records that the endpoint start [endpointStart] crashed before it began to answer a request with [parts]; returns
     * the parts that are quarantined because of it.
     */
    @Synchronized
    public fun recordCrash(endpointStart: String, parts: Collection<String>): List<String> {
        val now = timeSource.markNow()
        val accused = parts.toSet().filter(suspects::canHold)
        val quarantinedBefore = accused.filter { suspects[it]?.isQuarantined ?: false }
        if (accused.count { suspects.getOrAdd(it).addCrash(endpointStart, now) } > 0) revision++
        prune()
        return (accused - quarantinedBefore.toSet()).filter { suspects[it]?.isQuarantined ?: false }
    }

    /** Records that an endpoint began to answer a request with [parts]; returns the parts that this clears. */
    public fun recordAnswer(parts: Collection<String>): List<String> {
        if (!hasSuspects) return emptyList()
        return synchronized(this) {
            val now = timeSource.markNow()
            parts.filter { suspects[it]?.addAnswer(now, isOwn = true) ?: false }
                .also { if (it.isNotEmpty()) revision++ }
        }
    }

    /**
     * Decides about a request with [parts]. If the decision is a trial, the request must be sent.
     *
     * @param isTrialOwner whether this instance is the one of the fleet that tries a part, so that instances which
     *   decide at the same moment don't all try it.
     */
    public fun check(parts: Collection<String>, isTrialOwner: (String) -> Boolean): QuarantineDecision {
        if (!hasSuspects) return QuarantineDecision.Admitted
        return synchronized(this) {
            val quarantinedParts = parts.filter { suspects[it]?.isQuarantined ?: false }
            if (quarantinedParts.isEmpty()) QuarantineDecision.Admitted else decide(quarantinedParts, isTrialOwner)
        }
    }

    private fun decide(quarantinedParts: List<String>, isTrialOwner: (String) -> Boolean): QuarantineDecision {
        val waitingParts = quarantinedParts.filterNot { part ->
            val suspect = suspects.getOrAdd(part)
            val isDue = suspect.timeUntilTrial() <= Duration.ZERO && isTrialOwner(part)
            isDue || suspect.isTrialOverdue || isWorthTryingNow(part, quarantinedParts)
        }
        if (waitingParts.isNotEmpty()) {
            val (part, timeUntilTrial) = waitingParts.map { it to suspects.getOrAdd(it).timeUntilTrial() }
                .maxBy { (_, time) -> time }
            return QuarantineDecision.Refused(part, timeUntilTrial.coerceAtLeast(Duration.ZERO))
        }
        val now = timeSource.markNow()
        quarantinedParts.forEach { suspects.getOrAdd(it).addTrial(now, isOwn = true) }
        revision++
        return QuarantineDecision.Trial(quarantinedParts.first())
    }

    // True if another part, which this request does not have, was in all requests that crashed endpoints with this
    // part. Otherwise a part that most requests share would wait for its backoff because of the harmful one.
    private fun isWorthTryingNow(part: String, quarantinedParts: List<String>): Boolean {
        val suspect = suspects.getOrAdd(part)
        return !suspect.isOnTrial && suspects.anyQuarantined { otherPart, other ->
            otherPart !in quarantinedParts && suspect.isExplainedBy(other)
        }
    }

    /** Takes back the trial of [parts], since the request was not sent. */
    @Synchronized
    public fun withdrawTrial(parts: Collection<String>) {
        parts.forEach { suspects[it]?.withdrawTrial() }
    }

    /** Returns what peers should know: all crashes, and the answers and trials of this instance, by part. */
    public fun evidence(): Map<String, PartEvidence> {
        if (!hasSuspects) return emptyMap()
        return synchronized(this) {
            prune()
            val reported = suspects.mostSuspect(MAX_REPORTED_SUSPECTS) + suspects.latestAnswered(MAX_REPORTED_ANSWERS)
            reported.mapValues { (_, suspect) -> suspect.toEvidence() }
        }
    }

    /** Adds the [evidence] of a peer; returns the parts that are quarantined because of it. */
    public fun merge(evidence: Map<String, PartEvidence>): List<String> {
        if (evidence.isEmpty()) return emptyList()
        return synchronized(this) {
            evidence.filter { (part, reported) -> suspects.canHold(part) && mergePart(part, reported) }
                .keys.toList().also { prune() }
        }
    }

    // Returns true if the part is quarantined because of the report.
    private fun mergePart(part: String, reported: PartEvidence): Boolean {
        val now = timeSource.markNow()
        val suspect = suspects.getOrAdd(part)
        val wasQuarantined = suspect.isQuarantined

        // A time in the future would outweigh all evidence until then.
        fun timeOf(age: Duration) = now - age.coerceAtLeast(Duration.ZERO)

        reported.answerAge?.let { suspect.addAnswer(timeOf(it), isOwn = false) }
        reported.trialAge?.let { suspect.addTrial(timeOf(it), isOwn = false) }
        val newCrashes = reported.crashAges.count { (start, age) -> suspect.addCrash(start, timeOf(age)) }
        if (newCrashes > 0) revision++
        return suspect.isQuarantined && !wasQuarantined
    }

    private fun prune() {
        suspects.prune()
        hasSuspects = !suspects.isEmpty
    }

    private companion object {
        // Bound the messages to peers. Parts with an answer are no longer among the most suspect ones, but may still be
        // in quarantine at the peers.
        const val MAX_REPORTED_SUSPECTS = 32
        const val MAX_REPORTED_ANSWERS = 16
    }
}
