package org.celerywalk.endpoint

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against requests to endpoints that have stated that they are leaving, or want none for a time. */
class EndpointNoticesTest {
    private val clock = TestTimeSource()
    private val directory = EndpointDirectory(clock, outageThreshold = 3.seconds, reregistrationGrace = 2.seconds)
    private val notices = directory.notices

    @Test
    fun `an endpoint that is leaving gets no requests until it starts again, whatever the registry says`() {
        directory.update(listOf(endpoint("a", startedAtMillis = 1), endpoint("b", startedAtMillis = 1)))
        assertTrue(notices.recordLeaving(EndpointStart("a", 1)))
        assertFalse(notices.recordLeaving(EndpointStart("a", 1)))
        repeat(3) {
            clock += 20.seconds
            directory.update(listOf(endpoint("a", startedAtMillis = 1), endpoint("b", startedAtMillis = 1)))
            assertEquals(listOf("b"), serving())
        }
        directory.update(listOf(endpoint("b", startedAtMillis = 1)))
        directory.update(listOf(endpoint("a", startedAtMillis = 1), endpoint("b", startedAtMillis = 1)))
        assertEquals(listOf("b"), serving(), "a registration that is late")
        directory.update(listOf(endpoint("a", startedAtMillis = 2), endpoint("b", startedAtMillis = 1)))
        assertEquals(listOf("a", "b"), serving())
        clock += 1.hours
        directory.update(listOf(endpoint("a", startedAtMillis = 2), endpoint("b", startedAtMillis = 1)))
        assertEquals(listOf("a", "b"), serving())
    }

    @Test
    fun `a report of a peer about an earlier start has no effect on the present one`() {
        directory.update(listOf(endpoint("a", startedAtMillis = 2)))
        notices.mergeLeaving(setOf(EndpointStart("a", 1)))
        assertEquals(listOf("a"), serving())
        assertEquals(listOf(EndpointStart("a", 2)), notices.mergeLeaving(setOf(EndpointStart("a", 2))))
        assertEquals(emptyList(), serving())
        assertEquals(emptySet(), notices.leavingStarts, "reports of peers are not passed on")
    }

    @Test
    fun `after a pause, an endpoint gets one request at first and more as it answers`() {
        val start = EndpointStart("a", 1)
        notices.recordPause(start, 2.seconds)
        notices.recordPause(start, 1.seconds)
        assertEquals(2.seconds, notices.timeUntilAccepted(listOf(start)))
        notices.recordAnswer(start)
        assertFalse(notices.accepts(start, openCalls = 0))
        clock += 2001.milliseconds
        assertEquals(listOf(true, false), listOf(0, 1).map { notices.accepts(start, it) })
        notices.recordAnswer(start)
        assertEquals(listOf(true, true, false), (0..2).map { notices.accepts(start, it) })
        repeat(20) { notices.recordAnswer(start) }
        assertTrue(notices.accepts(start, openCalls = 100))
    }

    @Test
    fun `no value of a pause excludes an endpoint for good`() {
        val start = EndpointStart("a", 1)
        listOf(Duration.ZERO, -1.seconds).forEach { notices.recordPause(start, it) }
        assertTrue(notices.accepts(start, openCalls = 5))
        notices.recordPause(start, Duration.INFINITE)
        clock += EndpointNotices.MAX_PAUSE + 1.milliseconds
        assertTrue(notices.accepts(start, openCalls = 0))
    }

    /** Pattern: replicas leave and start again while instances are cut from the registry and lose messages. */
    @Test
    fun `no instance sends a request to a start that has told it that it is leaving`() {
        repeat(SEEDS) { seed -> ReplacedFleet(Random(seed), clock).play() }
    }

    private fun serving() = directory.servingEndpoints("s").map { it.id }.sorted()

    private class ReplacedFleet(private val random: Random, private val clock: TestTimeSource) {
        private val instances = List(6) { EndpointDirectory(clock, 3.seconds, 2.seconds) }
        private val starts = (0 until 5).associate { "e-$it" to 1L }.toMutableMap()
        private val leaving = mutableSetOf<EndpointStart>()
        private val heardLeaving = instances.map { mutableSetOf<EndpointStart>() }

        fun play() {
            instances.forEach { it.update(registry()) }
            repeat(STEPS) {
                clock += random.nextInt(50, 800).milliseconds
                when (random.nextInt(4)) {
                    0 -> leaving += starts.entries.random(random).let { (id, time) -> EndpointStart(id, time) }
                    1 -> restart()
                    2 -> instances.random(random).update(registry())
                    else -> exchange()
                }
                instances.forEachIndexed(::sendRequest)
            }
            instances.forEach { it.update(registry()) }
            val sound = starts.filter { (id, time) -> EndpointStart(id, time) !in leaving }.keys
            instances.forEachIndexed { i, instance ->
                val missing = sound - instance.servingEndpoints("s").map { it.id }.toSet()
                assertEquals(emptySet(), missing, "instance $i does not use endpoints that have started again")
            }
        }

        // The registry lists an endpoint as ready until it starts again.
        private fun registry() = starts.map { (id, time) -> endpoint(id, startedAtMillis = time) }

        private fun restart() {
            val left = leaving.filter { starts[it.id] == it.startedAtMillis }.randomOrNull(random) ?: return
            starts[left.id] = checkNotNull(left.startedAtMillis) + 1
        }

        private fun exchange() {
            val (sender, receiver) = instances.shuffled(random)
            receiver.notices.mergeLeaving(sender.notices.leavingStarts)
        }

        private fun sendRequest(index: Int, instance: EndpointDirectory) {
            val target = instance.servingEndpoints("s").randomOrNull(random)?.start ?: return
            assertTrue(target !in heardLeaving[index], "request to $target")
            if (target in leaving) {
                instance.notices.recordLeaving(target)
                heardLeaving[index] += target
            }
        }
    }

    private companion object {
        const val SEEDS = 60
        const val STEPS = 200

        fun endpoint(id: String, startedAtMillis: Long) =
            RegisteredEndpoint(id, "s", "$id:1", "dc", slots = 4, isDraining = false, startedAtMillis, emptyMap())
    }
}
