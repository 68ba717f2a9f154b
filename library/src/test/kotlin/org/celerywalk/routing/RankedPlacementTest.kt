package org.celerywalk.routing

import org.celerywalk.cache.CacheGroup
import org.celerywalk.cache.PartLocations
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.EngineDefinition
import org.celerywalk.weights.WeightHistory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load: a burst of long prompts of a less urgent route, beside short urgent prompts; and a replica that turns slow. */
class RankedPlacementTest {
    private val time = TestTimeSource()
    private val loads = FleetLoads(time)
    private val chooser =
        ModelReplicaChooser(time, loads, PartLocations(time, 2.seconds), "dc-1", prefillTokensPerMilli = 45.0)
    private val weights = WeightHistory(time).apply { recordPublication(1) }
    private val replicas = List(2) { replica("r$it") }
    private val question = Generation(
        "m",
        listOf(PromptPart("q", 800)),
        promptTokens = 800,
        outputTokens = 40,
        cacheGroup = CacheGroup.EVERYONE,
        firstTokenTimeLeft = 400.milliseconds,
        rank = 0,
    )
    private val label = question.copy(
        parts = listOf(PromptPart("l", 9_000)),
        promptTokens = 9_000,
        firstTokenTimeLeft = 1.seconds,
        rank = 2,
    )

    // Guards against urgent requests that are deferred because of prompts that the replica reads after them.
    @Test
    fun `burst of long prompts - an urgent request does not count less urgent prompts as ahead of it`() {
        addEverywhere(EndpointWork(calls = 12, queuedPrefillTokens = 108_000, cacheTokens = 108_000), rank = 2)
        val placement = choose(question)
        assertFalse(placement.isDeferred)
        assertTrue(placement.expectedFirstTokenMillis < 60, "${placement.expectedFirstTokenMillis} ms")
        assertTrue(choose(label).isDeferred, "2.4 s of prefill are ahead of a request of the same rank")
    }

    // Guards against less urgent requests that are promised a turn before the urgent ones ahead of them.
    @Test
    fun `urgent requests - a less urgent one waits for them and for the late ones of its own rank`() {
        addEverywhere(EndpointWork(calls = 20, queuedPrefillTokens = 60_000), rank = 0)
        assertTrue(choose(label).expectedFirstTokenMillis > 1_300)
        addEverywhere(EndpointWork(calls = 5, queuedPrefillTokens = 45_000).asDeferred(), rank = 2)
        assertTrue(choose(label).expectedFirstTokenMillis > 2_300, "deferred like those ahead of it")
        assertFalse(choose(question.copy(firstTokenTimeLeft = 2.seconds)).isDeferred)
    }

    // Guards against a late urgent request that yields to late less urgent ones, or precedes requests in time.
    @Test
    fun `late requests come after those in time and by rank among themselves`() {
        val order = listOf(0 to false, 2 to false, 0 to true, 2 to true)
        val priorities = order.map { (rank, isDeferred) -> Rank.replicaPriority(rank, isDeferred) }
        assertEquals(priorities.sorted(), priorities)
        assertTrue(priorities.all { it in 0..9 } && priorities.distinct().size == order.size)
    }

    // Guards against urgent requests that preempt long prompts at one replica while another has room.
    @Test
    fun `full cache - an urgent request goes to the replica where it preempts nobody`() {
        loads.getOrCreate("r0").add(EndpointWork(calls = 12, cacheTokens = 115_000), rank = 2)
        loads.getOrCreate("r1").add(EndpointWork(calls = 20, cacheTokens = 40_000), rank = 2)
        assertEquals("r1", choose(question).endpoint.id)
    }

    // Guards against a slow replica that keeps its full share, and against one that never gets requests again.
    @Test
    fun `a replica whose first tokens come late gets less until it has had time to recover`() {
        val pace = loads.getOrCreate("r0").firstTokenPace
        repeat(10) { pace.record(observed = 800.milliseconds, expected = 50.milliseconds) }
        loads.getOrCreate("r1").add(EndpointWork(calls = 3, queuedPrefillTokens = 1_000))
        assertEquals("r1", choose(question).endpoint.id)
        time += 12.seconds
        assertEquals("r0", choose(question).endpoint.id)
    }

    private fun addEverywhere(work: EndpointWork, rank: Int) =
        replicas.forEach { loads.getOrCreate(it.id).add(work, rank) }

    private fun choose(generation: Generation) =
        assertNotNull(chooser.choose(generation, replicas, context(), weights, 6.seconds))

    private fun context() = EngineContext(EngineDefinition(64, 120_000, 18_432, 130_000.0, listOf("m")), null)

    private fun replica(id: String) =
        RegisteredEndpoint(id, "s", "10.0.0.${id.last()}:80", "dc-1", 64, false, null, mapOf("m" to 1))
}
