package org.celerywalk.limit

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against calls that start in the wrong order, too late, or after their callers have left. */
class CallAdmissionTest {
    private val time = TestTimeSource()
    private var room = 0
    private val decisions = mutableListOf<Pair<String, CallDecision>>()
    private val admission = CallAdmission<String>(time, Random(1), { takeRoom() }) { name, decision ->
        decisions += name to decision
    }
    private val started get() = decisions.filter { it.second is CallDecision.Admitted }.map { it.first }
    private val refused get() =
        decisions.mapNotNull { (name, decision) -> (decision as? CallDecision.Refused)?.let { name to it.reason } }

    @Test
    fun `calls start by rank and then by the latest start`() {
        offer("late", rank = 1, maxWaitMillis = 90)
        offer("soon", rank = 1, maxWaitMillis = 60)
        offer("urgent", rank = 0, maxWaitMillis = 99)
        release(3)
        assertEquals(listOf("urgent", "soon", "late"), started)
    }

    @Test
    fun `a new call does not overtake one that waits`() {
        offer("first", maxWaitMillis = 50)
        room = 1
        assertEquals(CallDecision.Waiting, offer("second", maxWaitMillis = 80))
        assertEquals(listOf("first"), started)
    }

    @Test
    fun `a call that cannot start in time is refused at once`() {
        repeat(4) { offer("$it", maxWaitMillis = 45) }
        val decision = offer("4", maxWaitMillis = 45)
        assertEquals(CallRefusal.TOO_LATE, assertIs<CallDecision.Refused>(decision).reason)
    }

    @Test
    fun `a call of a full queue gives way to a more urgent one`() {
        repeat(4) { offer("$it", rank = 1, maxWaitMillis = 45 + it) }
        offer("urgent", rank = 0, maxWaitMillis = 45)
        assertEquals(listOf("3" to CallRefusal.DISPLACED), refused)
    }

    @Test
    fun `all calls are refused after a freeze that is longer than they may wait`() {
        repeat(3) { offer("$it", maxWaitMillis = 60) }
        time += 2.seconds
        release(3)
        assertEquals(List(3) { "$it" to CallRefusal.WAIT_OVER }, refused)
    }

    @Test
    fun `a call that was withdrawn does not start`() {
        val call = QueuedCall(0, time.markNow() + 50.milliseconds, "left")
        admission.offer(call) { INTERVAL }
        admission.withdraw(call)
        release(1)
        assertEquals(emptyList(), decisions)
    }

    @Test
    fun `while the wait stays above its target, the newest call starts first and waits are shorter`() {
        // Each call waits for 60 ms, more than a quarter of its time, until 180 ms have passed.
        repeat(18) {
            offer("old-$it", maxWaitMillis = 100)
            time += 10.milliseconds
            if (it >= 5) release(1)
        }
        decisions.clear()
        offer("new", maxWaitMillis = 100)
        release(1)
        assertEquals(listOf("new"), started)
        time += 55.milliseconds
        release(1)
        assertTrue(refused.isNotEmpty() && refused.all { it.second == CallRefusal.WAIT_OVER }, "$decisions")
    }

    private fun offer(name: String, rank: Int = 0, maxWaitMillis: Int): CallDecision =
        admission.offer(QueuedCall(rank, time.markNow() + maxWaitMillis.milliseconds, name)) { INTERVAL }

    private fun release(calls: Int) {
        room = calls
        admission.decideWaiting()
    }

    private fun takeRoom() = (room > 0).also { if (it) room-- }

    private companion object {
        val INTERVAL = 10.milliseconds
    }
}
