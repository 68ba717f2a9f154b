package org.celerywalk.gateway.forwarding

import org.celerywalk.gateway.admission.ExpectedRoom
import org.celerywalk.routing.Generation
import org.celerywalk.routing.Placement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * A [generation] with its chosen [placement], which is null if no replica is eligible.
 *
 * @property latePriority priority at the replica if the generation is late, otherwise null.
 */
internal class PlannedGeneration(
    val generation: Generation,
    val placement: Placement?,
    private val prefillTokensPerMilli: Double,
    val latePriority: Int? = null,
) {
    /** Returns the same plan at [priority], or this one if that is null. */
    fun withLatePriority(priority: Int?): PlannedGeneration =
        if (priority == null) this else PlannedGeneration(generation, placement, prefillTokensPerMilli, priority)

    /** Room that the chosen replica is expected to have. */
    val expectedRoom: ExpectedRoom
        get() {
            val work = placement?.work
            val prefillTokens = work?.let { it.queuedPrefillTokens + it.deferredPrefillTokens } ?: 0
            val prefillTime = (prefillTokens / prefillTokensPerMilli).milliseconds
            val timeToStart = placement?.let { it.expectedFirstTokenMillis.milliseconds - prefillTime }
            return ExpectedRoom(timeToStart, prefillTime, prefillTokens + (work?.cacheTokens ?: 0))
        }

    /** Returns true if the generation is likely to finish within [timeLeft]. */
    fun isLikelyWithin(timeLeft: Duration): Boolean = placement != null &&
        placement.expectedFirstTokenMillis <= timeLeft.toDouble(DurationUnit.MILLISECONDS) * PLANNABLE_TIME_SHARE

    private companion object {
        // The remaining share of the time is for generating the output tokens.
        const val PLANNABLE_TIME_SHARE = 0.8
    }
}
