package org.celerywalk.routing

import org.celerywalk.cache.CacheGroup
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PartLocations
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition
import org.celerywalk.weights.WeightHistory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against placements that cost most: a repeated prefill of a hot prefix or after a loss of caches, answers on
 * superseded weights, late answers in a burst, and requests to a failing replica.
 */
class ModelReplicaChooserTest {
    private val time = TestTimeSource()
    private val loads = FleetLoads(time)
    private val locations = PartLocations(time, sentPartTtl = 2.seconds)
    private val chooser = ModelReplicaChooser(time, loads, locations, "dc-1", prefillTokensPerMilli = 45.0)
    private val weights = WeightHistory(time).apply { recordPublication(1) }
    private val replicas = List(4) { replica("r$it", version = 1) }
    private val scope = CacheScope.of("m", 1, CacheGroup.EVERYONE)
    private val generation = Generation(
        "m",
        listOf(PromptPart("a", 2_520), PromptPart("b", 3_780), PromptPart("own", 2_890)),
        promptTokens = 9_190,
        outputTokens = 20,
        cacheGroup = CacheGroup.EVERYONE,
    )

    @Test
    fun `hot prefix - requests go to the replica that has the parts cached`() {
        addCachedParts("r2", scope)
        assertEquals("r2", choose()?.endpoint?.id)
        assertEquals(6_300, choose()?.cachedTokens)
    }

    @Test
    fun `hot prefix - parts of a busy replica are fetched instead of prefilled again`() {
        addCachedParts("r2", scope)
        loads.getOrCreate("r2").add(EndpointWork(calls = 20, queuedPrefillTokens = 60_000, cacheTokens = 100_000))
        val placement = assertNotNull(choose())
        assertNotEquals("r2", placement.endpoint.id)
        assertEquals("10.0.0.2:80", placement.fetchAddress)
        assertEquals(6_300, placement.fetchTokens)
    }

    @Test
    fun `cold cache - every gateway sends parts that no replica has to the same replica`() {
        val choices = List(5) { gateway ->
            val other = ModelReplicaChooser(time, FleetLoads(time), PartLocations(time, 2.seconds), "dc-$gateway", 45.0)
            // Gateways list the replicas in different orders.
            other.choose(generation, replicas.shuffled(Random(gateway)), context(), weights, 6.seconds)?.endpoint?.id
        }
        assertEquals(1, choices.distinct().size, "$choices")
    }

    @Test
    fun `cold cache after a loss of replicas - parts are fetched from the cache store`() {
        addCachedParts("172.0.0.1:80", scope)
        val store = CacheStoreDefinition("172.0.0.1:80", "dc-1")
        val placement = chooser.choose(generation, replicas, context(store), weights, 6.seconds)
        assertEquals("172.0.0.1:80", placement?.fetchAddress)
    }

    @Test
    fun `gateway restart - shared parts are fetched from the store before its events are read`() {
        val store = CacheStoreDefinition("172.0.0.1:80", "dc-1")
        val placement = chooser.choose(generation, replicas, context(store), weights, 6.seconds)
        assertEquals("172.0.0.1:80" to 6_300, placement?.fetchAddress to placement?.fetchTokens)
        locations.reset("172.0.0.1:80", epoch = 7)
        val known = chooser.choose(generation, replicas, context(store), weights, 6.seconds)
        assertNull(known?.fetchAddress, "the store is known to be empty")
    }

    @Test
    fun `gateway restart - a store without events is used for a limited time only`() {
        val store = CacheStoreDefinition("172.0.0.1:80", "dc-1")
        time += 3.seconds
        assertNull(chooser.choose(generation, replicas, context(store), weights, 6.seconds)?.fetchAddress)
    }

    @Test
    fun `parts that were just sent are not fetched before their prefill`() {
        locations.recordSent("r2", scope, generation.sharedParts)
        loads.getOrCreate("r2").add(EndpointWork(calls = 60, queuedPrefillTokens = 200_000, cacheTokens = 110_000))
        assertNull(choose()?.fetchAddress)
        time += 400.milliseconds
        assertEquals("10.0.0.2:80", choose()?.fetchAddress)
    }

    @Test
    fun `isolated accounts never use cached parts of other accounts`() {
        addCachedParts("r2", scope)
        val isolated = generation.copy(cacheGroup = CacheGroup.only("x"))
        val placement = chooser.choose(isolated, replicas, context(), weights, 6.seconds)
        assertEquals(0, placement?.cachedTokens)
        assertNull(placement?.fetchAddress)
    }

    @Test
    fun `new weights - the cache of superseded weights is not used and updated replicas are preferred after a while`() {
        addCachedParts("r2", scope)
        weights.recordPublication(2)
        loads.getOrCreate("r1").recordWeightsVersion("m", 2)
        assertEquals("r2", choose()?.endpoint?.id, "superseded weights have no penalty yet")
        time += 1.5.seconds
        val placement = choose()
        assertEquals("r1", placement?.endpoint?.id)
        assertEquals(0, placement?.cachedTokens)
    }

    @Test
    fun `new weights - superseded weights are used while the few updated replicas would be late`() {
        weights.recordPublication(2)
        loads.getOrCreate("r1").recordWeightsVersion("m", 2)
        time += 1.5.seconds
        val urgent = generation.copy(firstTokenTimeLeft = 600.milliseconds)
        assertEquals("r1", choose(urgent)?.endpoint?.id)
        loads.getOrCreate("r1").add(EndpointWork(calls = 3, queuedPrefillTokens = 20_000))
        assertNotEquals("r1", choose(urgent)?.endpoint?.id)
    }

    @Test
    fun `cold cache - a home replica that would be late is not chosen`() {
        val urgent = generation.copy(firstTokenTimeLeft = 600.milliseconds)
        val home = assertNotNull(choose(urgent)).endpoint.id
        loads.getOrCreate(home).add(EndpointWork(calls = 1, queuedPrefillTokens = 1_500))
        assertEquals(home, choose(urgent)?.endpoint?.id)
        loads.getOrCreate(home).add(EndpointWork(calls = 2, queuedPrefillTokens = 20_000))
        assertNotEquals(home, choose(urgent)?.endpoint?.id)
    }

    @Test
    fun `hot prefix - a request that is late at every replica goes to the one that has its parts cached`() {
        addCachedParts("r2", scope)
        replicas.forEach { loads.getOrCreate(it.id).add(EndpointWork(calls = 20, queuedPrefillTokens = 60_000)) }
        assertEquals("r2", choose(generation.copy(firstTokenTimeLeft = 600.milliseconds))?.endpoint?.id)
    }

    @Test
    fun `burst - deferral of generations that would be late keeps later ones in time`() {
        val urgent = generation.copy(firstTokenTimeLeft = 600.milliseconds)
        val placements = List(40) {
            assertNotNull(choose(urgent.copy(parts = listOf(PromptPart("p$it", 9_190))))).also { placement ->
                loads.getOrCreate(placement.endpoint.id).add(placement.work)
            }
        }
        val (deferredPlacements, otherPlacements) = placements.partition { it.isDeferred }
        assertTrue(
            otherPlacements.size >= 8,
            "two prompts of 200 ms fit each of four replicas: ${otherPlacements.size}",
        )
        assertTrue(otherPlacements.all { it.expectedFirstTokenMillis <= 660 })
        assertTrue(deferredPlacements.last().expectedFirstTokenMillis > 1_000, "deferred work waits for deferred work")
        // The prefill of all generations that are not deferred ends; the deferred prompts do not delay a new one.
        replicas.forEach {
            loads.getOrCreate(it.id)
                .remove(EndpointWork(queuedPrefillTokens = loads.getOrCreate(it.id).work().queuedPrefillTokens))
        }
        assertFalse(assertNotNull(choose(urgent)).isDeferred)
    }

    @Test
    fun `burst - KV cache and slots taken by generations after deferral do not make a new one late`() {
        val urgent = generation.copy(firstTokenTimeLeft = 600.milliseconds)
        val placements = List(100) {
            assertNotNull(choose(urgent.copy(parts = listOf(PromptPart("p$it", 9_190))))).also { placement ->
                loads.getOrCreate(placement.endpoint.id).add(placement.work)
            }
        }
        val (deferredPlacements, otherPlacements) = placements.partition { it.isDeferred }
        assertTrue(deferredPlacements.sumOf { it.work.cacheTokens } > 4 * 116_000, "deferred work fills all KV caches")
        otherPlacements.forEach { loads.getOrCreate(it.endpoint.id).remove(it.work) }
        val next = assertNotNull(choose(urgent))
        assertFalse(next.isDeferred, "expected time to first token: ${next.expectedFirstTokenMillis} ms")
        val last = assertNotNull(choose(urgent.copy(promptTokens = 40_000)))
        assertTrue(last.isDeferred && last.expectedFirstTokenMillis > 2_000, "deferred work must wait: $last")
    }

    @Test
    fun `new weights - no deferral of a stream that resumes at another replica`() {
        replicas.forEach { loads.getOrCreate(it.id).add(EndpointWork(calls = 20, queuedPrefillTokens = 60_000)) }
        val late = generation.copy(firstTokenTimeLeft = 50.milliseconds)
        assertTrue(assertNotNull(choose(late)).isDeferred)
        assertFalse(assertNotNull(choose(late.copy(isResumed = true))).isDeferred)
    }

    @Test
    fun `new weights - no generation is placed on superseded weights after the deadline`() {
        weights.recordPublication(2)
        time += 6.seconds
        assertNull(choose())
        loads.getOrCreate("r3").recordWeightsVersion("m", 2)
        assertEquals("r3", choose()?.endpoint?.id)
    }

    @Test
    fun `a replica that changes its weights or fails gets no requests while other replicas are available`() {
        addCachedParts("r2", scope)
        loads.getOrCreate("r2").recordWeightChangeStart(1.seconds)
        assertNotEquals("r2", choose()?.endpoint?.id)
        time += 1.1.seconds
        assertEquals("r2", choose()?.endpoint?.id)
        repeat(2) { loads.getOrCreate("r2").health.recordFailure() }
        assertNotEquals("r2", choose()?.endpoint?.id)
    }

    private fun choose(generation: Generation = this.generation) =
        chooser.choose(generation, replicas, context(), weights, 6.seconds)

    private fun addCachedParts(holder: String, scope: CacheScope) =
        generation.sharedParts.forEach { locations.applyCacheEvent(holder, scope.value, it.id, it.tokens) }

    private fun context(store: CacheStoreDefinition? = null) =
        EngineContext(EngineDefinition(64, 116_000, 327_680, 550_000.0, listOf("m")), store)

    private fun replica(id: String, version: Int) = RegisteredEndpoint(
        id = id,
        service = "s",
        address = "10.0.0.${id.last()}:80",
        dataCentre = "dc-1",
        slots = 64,
        isDraining = false,
        startedAtMillis = null,
        models = mapOf("m" to version),
    )
}
