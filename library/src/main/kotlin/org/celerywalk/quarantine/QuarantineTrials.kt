package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Decides which requests with quarantined parts are sent on trial. Not thread-safe. */
internal class QuarantineTrials(private val suspects: SuspectParts) {
    /** Decides about a request with [quarantinedParts] and counts the trial if it is one. */
    fun decide(
        quarantinedParts: List<String>,
        now: ComparableTimeMark,
        isTrialOwner: (String) -> Boolean,
    ): QuarantineDecision {
        val waitingParts = quarantinedParts.filterNot { part ->
            val suspect = suspects.getOrAdd(part)
            val isDue = suspect.timeUntilTrial <= Duration.ZERO && isTrialOwner(part)
            isDue || suspect.isTrialOverdue || isWorthTryingNow(part, quarantinedParts)
        }
        if (waitingParts.isNotEmpty()) {
            val (part, timeUntilTrial) = waitingParts.map { it to suspects.getOrAdd(it).timeUntilTrial }
                .maxBy { (_, time) -> time }
            return QuarantineDecision.Refused(part, timeUntilTrial.coerceAtLeast(Duration.ZERO))
        }
        quarantinedParts.forEach { suspects.getOrAdd(it).addTrial(now, isOwn = true) }
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
}
