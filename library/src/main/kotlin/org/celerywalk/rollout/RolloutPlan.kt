package org.celerywalk.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What the owner of a roll-out knows of it.
 *
 * @property phase phase in the store.
 * @property elapsed time since the order.
 * @property isBad true if a gateway has found the new version to be worse.
 * @property isSound true if the evidence is large enough to promote early.
 * @property timeInPhase time since this process knows [phase].
 * @property isDrained true if no gateway that may be serving has requests at old replicas.
 */
public data class RolloutSituation(
    val phase: RolloutPhase,
    val elapsed: Duration,
    val isBad: Boolean,
    val isSound: Boolean,
    val timeInPhase: Duration,
    val isDrained: Boolean,
)

/** Decides the next phase of a roll-out. */
public object RolloutPlan {
    private const val EARLIEST_PROMOTION = 0.5
    private const val LATEST_PROMOTION = 0.8

    // Faults that show only when the new version carries all requests need some time to be found.
    private const val MIN_PROMOTION_SHARE = 0.08
    private const val DEADLINE_MARGIN_SHARE = 0.05
    private val MIN_DEADLINE_MARGIN = 1.seconds
    private val MAX_DEADLINE_MARGIN = 3.seconds

    /** Returns the phase that follows in [situation] for a roll-out of [duration], or null if none is due. */
    public fun nextPhase(situation: RolloutSituation, duration: Duration): RolloutPhase? = when {
        situation.phase.isFinal -> null
        situation.isBad -> RolloutPhase.ROLLED_BACK
        situation.phase == RolloutPhase.CANARY -> RolloutPhase.PROMOTING.takeIf { mayPromote(situation, duration) }
        else -> RolloutPhase.COMPLETED.takeIf { mayComplete(situation, duration) }
    }

    private fun mayPromote(situation: RolloutSituation, duration: Duration): Boolean {
        val share = if (situation.isSound) EARLIEST_PROMOTION else LATEST_PROMOTION
        return situation.elapsed >= duration * share
    }

    // The status has to be written by the deadline, also if a gateway's requests have not ended.
    private fun mayComplete(situation: RolloutSituation, duration: Duration): Boolean {
        val margin = (duration * DEADLINE_MARGIN_SHARE).coerceIn(MIN_DEADLINE_MARGIN, MAX_DEADLINE_MARGIN)
        val isObserved = situation.timeInPhase >= duration * MIN_PROMOTION_SHARE
        return situation.isDrained && isObserved || situation.elapsed >= duration - margin
    }
}
