package org.celerywalk.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of the check of an order that has not been accepted yet. */
public sealed interface OrderCheck {
    /** The order can be carried out; [isInUse] if its version already gets all requests. */
    public data class Valid(val isInUse: Boolean) : OrderCheck

    /** The order may become valid soon, since registrations are read with a delay. */
    public data object Undecided : OrderCheck

    /** The order can't be carried out, because of [reason]. */
    public data class Invalid(val reason: String) : OrderCheck
}

/**
 * What the owner knows of the roll-outs of one service, besides the row in the store.
 *
 * @property order the operators' order, or null if none is known.
 * @property check result of the check of [order].
 * @property known progress as this process knows it, which is ahead of the row only if the store has lost writes.
 * @property nowMillis reading of the store's clock in milliseconds.
 */
public data class OwnerFacts(
    val order: RolloutOrder?,
    val check: OrderCheck,
    val known: RolloutState?,
    val nowMillis: Long,
    val isBad: Boolean = false,
    val isSound: Boolean = false,
    val timeInPhase: Duration = Duration.ZERO,
    val isDrained: Boolean = false,
)

/** Row that the owner should write, and why. */
public data class OwnerStep(val row: RolloutRow, val reason: String)

/**
 * Decides what the owner of a service's roll-outs writes next. Each write is conditional on the row that the decision
 * was based on, so that two owners at a time do no harm.
 */
public object RolloutOwner {
    /** Returns the write that follows from [row], null if there is none, and [facts]; or null if none is due. */
    public fun nextStep(row: RolloutRow?, facts: OwnerFacts): OwnerStep? =
        restore(row, facts.known) ?: handleOrder(row, facts) ?: advance(row, facts)

    private fun restore(row: RolloutRow?, known: RolloutState?): OwnerStep? {
        if (known == null) return null
        val stored = row?.current
        val isSame = stored != null && stored.order.isSameAs(known.order)
        val isLost = stored == null || known.order.id > stored.order.id && !isSame
        val isBehind = isSame && stored != null && stored.phase.advance(known.phase) != stored.phase
        val kept = if (stored != null && isSame && stored.order.id > known.order.id) stored.order else known.order
        return OwnerStep(RolloutRow(known.copy(order = kept), row?.refused), "store_lost_writes")
            .takeIf { isLost || isBehind }
    }

    private fun handleOrder(row: RolloutRow?, facts: OwnerFacts): OwnerStep? {
        val order = facts.order ?: return null
        val current = row?.current
        val check = facts.check
        return when {
            order.id == row?.refused || order.id == current?.order?.id -> null
            current != null && order.isSameAs(current.order) -> takeOver(row, current, order)
            current != null && order.id < current.order.id -> null
            current != null && !current.phase.isFinal ->
                OwnerStep(row.copy(refused = order.id), "another roll-out of the service is running")
            check is OrderCheck.Invalid -> OwnerStep(RolloutRow(current, order.id), check.reason)
            check is OrderCheck.Valid -> {
                val phase = if (check.isInUse) RolloutPhase.COMPLETED else RolloutPhase.CANARY
                OwnerStep(RolloutRow(RolloutState(order, phase, facts.nowMillis), row?.refused), "ordered")
            }
            else -> null
        }
    }

    // Operators have written the same order again, since the store had lost it.
    private fun takeOver(row: RolloutRow, current: RolloutState, order: RolloutOrder): OwnerStep? =
        OwnerStep(row.copy(current = current.copy(order = order)), "ordered_again").takeIf {
            order.id > current.order.id
        }

    private fun advance(row: RolloutRow?, facts: OwnerFacts): OwnerStep? {
        val current = row?.current ?: return null
        val situation = RolloutSituation(
            phase = current.phase,
            elapsed = (facts.nowMillis - current.orderedAtMillis).milliseconds,
            isBad = facts.isBad,
            isSound = facts.isSound,
            timeInPhase = facts.timeInPhase,
            isDrained = facts.isDrained,
        )
        return RolloutPlan.nextPhase(situation, current.order.duration)
            ?.let { OwnerStep(row.copy(current = current.copy(phase = it)), reasonOf(it, facts)) }
    }

    private fun reasonOf(next: RolloutPhase, facts: OwnerFacts): String = when {
        facts.isBad -> "worse"
        next == RolloutPhase.PROMOTING -> if (facts.isSound) "sound" else "nothing_bad"
        else -> if (facts.isDrained) "drained" else "deadline"
    }
}
