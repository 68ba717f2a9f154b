package org.celerywalk.rollout

/**
 * Progress of an order.
 *
 * @property orderedAtMillis time of the order in milliseconds of the store's clock.
 */
public data class RolloutState(val order: RolloutOrder, val phase: RolloutPhase, val orderedAtMillis: Long)

/**
 * What the store keeps of the roll-outs of one service.
 *
 * @property current the order that was accepted last, or null if there was none.
 * @property refused the order that was refused last, so that it is not carried out later, or null if there was none.
 */
public data class RolloutRow(val current: RolloutState?, val refused: OrderId?)
