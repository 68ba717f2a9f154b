package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Keeps requests from endpoints if a part of their prompt crashes each endpoint that answers it (a query of death).
 *
 * A crash counts against the parts of all requests that the endpoint had received and not answered, and of those that
 * it had just begun to answer. An answer that its endpoint outlives clears the parts of its request, since a harmful
 * part never gets one. A part is quarantined after two separate crashes with no answer in between, that is, if the
 * second endpoint was alive after the first one had crashed: endpoints that crash together have a common cause, and
 * every part that many requests share was in requests to all of them. A part that was answered shortly before must go
 * on to crash endpoints for some seconds.
 *
 * Requests with a quarantined part are refused, but for one on trial after a backoff, or at once if another part may be
 * to blame. The backoff grows with each trial that ends in a crash while the endpoints serve requests without the part;
 * if they serve none, they may crash for a reason of their own. An answer ends the quarantine, and so does a report
 * that shows that the crashes were not separate.
 *
 * Parts are known by name; those with names of more than 64 characters are never quarantined.
 *
 * Instances exchange their [evidence], and each decides by all of it; a crash that several instances report counts
 * once. Safe for use from several threads.
 */
public class PromptPartQuarantine(private val timeSource: TimeSource.WithComparableMarks) {
    private val suspects = SuspectParts()
    private val ledger = CrashLedger(suspects)
    private val trials = QuarantineTrials(suspects)

    // Read without the lock for each request, nearly all of which have no suspect part.
    @Volatile
    private var hasSuspects = false

    /** Number of changes of the evidence, which tells whether peers should be sent it again. */
    @Volatile
    public var revision: Long = 0
        private set

    /** Evidence that keeps each of the parts in quarantine. */
    public val quarantinedParts: Map<String, PartEvidence>
        @Synchronized get() = suspects.quarantined().mapValues { (_, suspect) -> suspect.lastingEvidence }

    /** Returns true if one of [parts] is in quarantine. */
    public fun isAnyQuarantined(parts: Collection<String>): Boolean =
        hasSuspects && synchronized(this) { parts.any { suspects.isQuarantined(it) } }

    /** Returns true if the crash of the endpoint start [endpointStart] is known. */
    @Synchronized
    public fun isCrashKnown(endpointStart: String): Boolean = endpointStart in ledger

    /**
     * Records that the endpoint start [endpointStart] crashed [ages] ago before it began to answer a request with
     * [parts], or while it answered a request if there are none; returns the parts that are quarantined because of it.
     */
    @Synchronized
    public fun recordCrash(
        endpointStart: String,
        parts: Collection<String>,
        ages: CrashAges = CrashAges(Duration.ZERO),
    ): List<String> {
        val quarantinedBefore = suspects.quarantined().keys
        val accused = ledger.addCrash(endpointStart, parts, Crash.of(ages, timeSource.markNow()))
        if (accused.isNotEmpty()) revision++
        prune()
        return accused.filter { it !in quarantinedBefore && suspects.isQuarantined(it) }
    }

    /**
     * Records that the endpoint start [endpointStart] began to answer a request with [parts] that was sent to it
     * [sinceSent] ago; returns the parts that this clears, unless the endpoint crashes right after it.
     */
    @Synchronized
    public fun recordAnswer(
        endpointStart: String,
        parts: Collection<String>,
        sinceSent: Duration = Duration.ZERO,
    ): List<String> {
        if (parts.isEmpty()) return emptyList()
        val now = timeSource.markNow()
        return ledger.addAnswer(endpointStart, parts, now - sinceSent, now).also { if (it.isNotEmpty()) revision++ }
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
            val quarantinedParts = parts.filter { suspects.isQuarantined(it) }
            if (quarantinedParts.isEmpty()) {
                QuarantineDecision.Admitted
            } else {
                trials.decide(quarantinedParts, timeSource.markNow(), isTrialOwner)
                    .also { if (it is QuarantineDecision.Trial) revision++ }
            }
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
            val now = timeSource.markNow()
            evidence.filter { (part, reported) -> suspects.canHold(part) && mergePart(part, reported, now) }
                .keys.toList().also { prune() }
        }
    }

    // Returns true if the part is quarantined because of the report.
    private fun mergePart(part: String, reported: PartEvidence, now: ComparableTimeMark): Boolean {
        val suspect = ledger.suspectOf(part)
        val wasQuarantined = suspect.isQuarantined
        // An answer or trial in the future would outweigh all evidence until then.
        reported.answerAge?.takeIf { it >= Duration.ZERO }?.let { suspect.addPeerAnswer(null, now - it) }
        reported.unprovenAnswerAges.filterValues { it >= Duration.ZERO }
            .forEach { (start, age) -> suspect.addPeerAnswer(start, now - age) }
        reported.trialAge?.let { suspect.addTrial(now - it.coerceAtLeast(Duration.ZERO), isOwn = false) }
        val newCrashes =
            reported.crashes.count { (start, ages) -> ledger.addPeerCrash(start, part, Crash.of(ages, now)) }
        if (newCrashes > 0) revision++
        return suspect.isQuarantined && !wasQuarantined
    }

    private fun prune() {
        suspects.prune()
        hasSuspects = !suspects.isEmpty
    }

    public companion object {
        /** Time that an endpoint must outlive the beginning of an answer for the parts of its request to be sound. */
        public val ANSWER_PROOF_TIME: Duration = PartAnswers.PROOF_TIME

        // Bound the messages to peers. Parts with an answer are no longer among the most suspect ones, but may still be
        // in quarantine at the peers.
        private const val MAX_REPORTED_SUSPECTS = 32
        private const val MAX_REPORTED_ANSWERS = 16
    }
}
