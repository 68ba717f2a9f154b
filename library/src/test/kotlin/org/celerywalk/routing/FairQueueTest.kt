package org.celerywalk.routing

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class FairQueueTest {
    private val clock = TestTimeSource()

    @Test
    fun `Backlogged accounts get their weighted share while one of them offers five times its rate`(): Unit =
        runBlocking {
            checkAll(PropTestConfig(seed = 11, iterations = 30), Arb.list(Arb.int(1..4), 2..6)) { weights ->
                val queue = FairQueue<Unit>(timeSource = clock) { weights[it.toInt()].toDouble() }
                val random = Random(weights.hashCode())
                val served = LongArray(weights.size)
                var nextId = 0
                repeat(3_000) {
                    weights.indices.forEach { account ->
                        repeat(if (account == 0) 5 else 2) {
                            queue.offer(work(nextId++, account, random.nextLong(1, 9_000)))
                        }
                    }
                    queue.poll()?.let { served[it.clientAccount.toInt()] += it.tokens }
                }
                val share = served.sum().toDouble() / weights.sum()
                weights.forEachIndexed { account, weight -> assertTrue(served[account] >= 0.95 * share * weight) }
            }
        }

    @Test
    fun `Urgent requests of the same or another account do not starve a request without priority`() {
        listOf(0, 1).forEach { urgentAccount ->
            val queue = FairQueue<Unit>(timeSource = clock)
            queue.offer(work(0, account = 0, tokens = 1_000))
            val polls = generateSequence(1) { it + 1 }.first { round ->
                queue.offer(work(round, urgentAccount, tokens = 1_000, priority = 3))
                queue.poll()?.id == "0"
            }
            assertTrue(polls <= 3 * 400 + 2, "with urgent requests of account $urgentAccount: $polls polls")
        }
    }

    /** Guards against an account that gets more than its share because its requests cost more than estimated. */
    @Test
    fun `An account is charged for the computed tokens if they exceed the estimate`() {
        val queue = FairQueue<Unit>(timeSource = clock)
        val served = LongArray(2)
        (0 until 400).forEach { queue.offer(work(it, account = it % 2, tokens = if (it % 2 == 0) 100 else 1_000)) }
        repeat(200) {
            val work = checkNotNull(queue.poll())
            queue.adjustCharge(work.clientAccount, work.tokens, computedTokens = 1_000)
            served[work.clientAccount.toInt()] += 1_000L
        }
        assertTrue(served.min() >= 0.95 * served.sum() / 2, served.joinToString())
    }

    @Test
    fun `A request of an account with a full queue is refused with a retry time, other accounts are accepted`() {
        val queue = FairQueue<Unit>(FairQueueSettings(maxItemsPerAccount = 10), clock)
        repeat(10) { queue.offer(work(it, account = 0, tokens = 4_000)) }
        val refusal = assertNotNull(queue.offer(work(10, account = 0, tokens = 1)).leftOrNull())
        assertEquals(2.seconds, refusal.retryAfter)
        assertTrue(queue.offer(work(11, account = 1, tokens = 1)).isRight())
        assertTrue(queue.expectedWait("0") > Duration.ZERO)
    }

    @Test
    fun `Random offers, polls and removals - counts are exact and idle accounts leave no state`(): Unit =
        runBlocking {
            checkAll(PropTestConfig(seed = 12, iterations = 50), Arb.list(Arb.int(0..999), 1..300)) { steps ->
                val queue = FairQueue<Unit>(timeSource = clock)
                val waiting = HashMap<String, Long>()
                steps.forEachIndexed { index, step ->
                    when (step % 3) {
                        0 -> queue.poll()?.let { waiting.remove(it.id) }
                        1 -> queue.remove("${step % 7}", "$step")?.let { waiting.remove(it.id) }
                        else -> queue.offer(work(step, step % 7, index + 1L)).onRight { waiting["$step"] = index + 1L }
                    }
                    assertEquals(waiting.size, queue.size)
                    assertEquals(waiting.values.sum(), queue.queuedTokens)
                }
                while (queue.poll() != null) Unit
                assertEquals(0, queue.trackedAccountCount)
            }
        }

    private fun work(id: Int, account: Int, tokens: Long, priority: Int = 0) =
        QueuedWork("$id", "$account", tokens, priority, Unit)
}
