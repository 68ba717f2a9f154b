package org.celerywalk.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class AdmissionQueueTest {
    private val clock = TestTimeSource()
    private val shares = FairShares(clock)
    private val queue = AdmissionQueue(clock, shares, ReturnTimes(clock, Random(5)), Random(5), maxWaiting = 3)

    /** Guards against work in the queue for requests that don't need it. */
    @Test
    fun `a request with room is admitted at once, one that cannot start in time is refused with a time`() {
        assertEquals(Admission.Admitted(isLate = false), queue.offer(request(), Duration.ZERO))
        val refusal = assertIs<Admission.Refused>(queue.offer(request(), 2.seconds))
        assertEquals(RefusalReason.NO_ROOM, refusal.reason)
        assertTrue(refusal.retryAfter >= 1.seconds, "no room before ${refusal.retryAfter}")
        assertEquals(0, queue.size)
    }

    /** Guards against a less urgent request that takes the room before a waiting one. */
    @Test
    fun `waiting requests get room by rank, then the account with the least service, then the latest start`() {
        shares.recordAdmitted("hot", rank = 2, work = 9_000)
        val less = request(rank = 2, account = "cold")
        val hot = request(rank = 1, account = "hot", target = 960.milliseconds)
        val cold = request(rank = 1, account = "cold")
        listOf(less, hot, cold).forEach { assertEquals(Admission.Waiting, queue.offer(it, 920.milliseconds)) }
        clock += 101.milliseconds
        assertEquals(listOf(cold, hot, less), queue.releaseNext({ Duration.ZERO }))
        assertEquals(Admission.Admitted(isLate = false), queue.poll(hot))
    }

    /** Guards against a newcomer that overtakes a waiting request of its rank and against an unbounded queue. */
    @Test
    fun `a newcomer waits behind those before it and displaces the last one of a full queue`() {
        val waiting = List(3) { request(rank = 1 + it) }
        waiting.reversed().forEach { assertEquals(Admission.Waiting, queue.offer(it, 950.milliseconds)) }
        assertIs<Admission.Refused>(queue.offer(request(rank = 4), Duration.ZERO))
        assertEquals(Admission.Waiting, queue.offer(request(rank = 1, target = 1_100.milliseconds), 950.milliseconds))
        val displaced = assertIs<Admission.Refused>(queue.poll(waiting.last()))
        assertEquals(RefusalReason.QUEUE_FULL, displaced.reason)
    }

    /** Guards against a caller whose time runs out in the queue, and against requests that outlive a freeze. */
    @Test
    fun `a request that has waited for a quarter of its time is refused at that moment`() {
        val waiting = request()
        queue.offer(waiting, 950.milliseconds)
        clock += 250.milliseconds
        assertEquals(Admission.Waiting, queue.poll(waiting))
        clock += 1.milliseconds
        assertEquals(RefusalReason.WAITED_TOO_LONG, assertIs<Admission.Refused>(queue.poll(waiting)).reason)
        assertEquals(emptyList(), queue.releaseNext({ Duration.ZERO }))
    }

    /** Guards against an urgent kind that is served less often than a less urgent one. */
    @Test
    fun `a late urgent request is sent, and less urgent ones find no room until urgent ones do`() {
        queue.lateRank = 0
        assertEquals(Admission.Admitted(isLate = true), queue.offer(request(rank = 0), 2.seconds))
        assertEquals(Admission.Waiting, queue.offer(request(rank = 1), Duration.ZERO))
        clock += 101.milliseconds
        assertEquals(Admission.Admitted(isLate = false), queue.offer(request(rank = 0), Duration.ZERO))
        assertEquals(1, queue.releaseNext({ Duration.ZERO }).size)
    }

    /** Guards against a burst of one account that fills the replicas with late requests of the most urgent rank. */
    @Test
    fun `an account above its share leaves room to the others and is not sent late while they lack room`() {
        queue.lateRank = 0
        shares.recordAdmitted("hot", rank = 0, work = 9_000)
        shares.recordAdmitted("cold", rank = 0, work = 900)
        clock += 300.milliseconds
        assertEquals(Admission.Admitted(isLate = true), queue.offer(request(rank = 0, account = "hot"), 2.seconds))
        assertIs<Admission.Admitted>(queue.offer(request(rank = 0, account = "cold"), 800.milliseconds))
        assertEquals(Admission.Admitted(isLate = true), queue.offer(request(rank = 0, account = "cold"), 2.seconds))
        assertIs<Admission.Refused>(queue.offer(request(rank = 0, account = "hot"), 2.seconds))
    }

    /** Guards against a caller that has left and still takes its account's share or a place in the queue. */
    @Test
    fun `a removed request leaves no trace`() {
        val left = request()
        queue.offer(left, 950.milliseconds)
        queue.releaseNext({ Duration.ZERO })
        queue.remove(left)
        assertEquals(0.0, shares.counter("a"))
        assertEquals(Admission.Waiting, queue.poll(left))
    }

    private fun request(rank: Int = 1, account: String = "a", target: Duration = 1.seconds) =
        AdmissionRequest(account, "r", rank, 1_000, clock.markNow(), clock.markNow() + target)
}
