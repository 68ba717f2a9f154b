package org.celerywalk.rollout

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** Guards against an order that is carried out twice or wrongly, and a phase that an older copy of the store undoes. */
class RolloutOwnerTest {
    private val order = RolloutOrder("s", "v2", 40.seconds, OrderId(1, 7))
    private val running = RolloutRow(RolloutState(order, RolloutPhase.CANARY, 0), null)
    private val second = order.copy(version = "v3", id = OrderId(1, 9))

    @Test
    fun `a second order is refused once and never carried out later`() {
        val refused = checkNotNull(step(running, second, OrderCheck.Valid(false)))
        assertEquals(running.copy(refused = second.id), refused.row)
        val completed = refused.row.copy(current = running.current?.copy(phase = RolloutPhase.COMPLETED))
        assertNull(step(completed, second, OrderCheck.Valid(false)))
    }

    @Test
    fun `an invalid order is refused and an undecided one waits`() {
        assertEquals(RolloutRow(null, order.id), step(null, order, OrderCheck.Invalid("unknown service"))?.row)
        assertNull(step(null, order, OrderCheck.Undecided))
    }

    @Test
    fun `a phase that the store has lost is written again`() {
        val known = running.current?.copy(phase = RolloutPhase.COMPLETED)
        assertEquals(known, step(running, order, OrderCheck.Undecided, known)?.row?.current)
        assertEquals(known, step(null, null, OrderCheck.Undecided, known)?.row?.current)
        val rewritten = order.copy(id = OrderId(2, 3))
        val kept = RolloutRow(known, null)
        assertEquals(RolloutPhase.COMPLETED, step(kept, rewritten, OrderCheck.Valid(false))?.row?.current?.phase)
    }

    @Test
    fun `a final phase stays`() {
        val rolledBack = RolloutRow(running.current?.copy(phase = RolloutPhase.ROLLED_BACK), null)
        val known = running.current?.copy(phase = RolloutPhase.COMPLETED)
        assertNull(step(rolledBack, order, OrderCheck.Valid(false), known))
    }

    private fun step(row: RolloutRow?, order: RolloutOrder?, check: OrderCheck, known: RolloutState? = null) =
        RolloutOwner.nextStep(row, OwnerFacts(order, check, known, nowMillis = 1))
}
