package org.celerywalk.routing

import org.celerywalk.cache.CacheGroup
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PartLocations
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition
import org.celerywalk.weights.WeightHistory
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Guards against placements whose processor time grows with the square of the number of replicas or with peers. */
class PlacementCostTest {
    private class CountingTimeSource : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        var readCount = 0

        override fun read(): Long = readCount++.toLong()
    }

    @Test
    fun `twice the replicas need at most twice the clock reads for a placement`() {
        val small = clockReads(replicaCount = 36, peerCount = 28)
        val large = clockReads(replicaCount = 72, peerCount = 28)
        assertTrue(large <= 2 * small, "$small reads for 36 replicas, $large for 72")
    }

    @Test
    fun `more peers with work at the replicas need no further clock reads for a placement`() {
        val few = clockReads(replicaCount = 36, peerCount = 4)
        val many = clockReads(replicaCount = 36, peerCount = 28)
        assertTrue(many <= few, "$few reads with 4 peers, $many with 28")
    }

    private fun clockReads(replicaCount: Int, peerCount: Int): Int {
        val clock = CountingTimeSource()
        val loads = FleetLoads(clock)
        val locations = PartLocations(clock, sentPartTtl = 2.seconds)
        val chooser = ModelReplicaChooser(clock, loads, locations, "dc-1", prefillTokensPerMilli = 45.0)
        val weights = WeightHistory(clock).apply { repeat(2) { recordPublication(it + 1) } }
        val replicas = List(replicaCount) { replica(it) }
        replicas.forEach { loads.getOrCreate(it.id) }
        val work = replicas.associate { it.id to RankedWork.of(EndpointWork(calls = 1)) }
        repeat(peerCount) { loads.recordPeerReport("peer-$it", work, isComplete = true) }
        val parts = listOf(PromptPart("a", 2_520), PromptPart("b", 3_780), PromptPart("own", 2_890))
        replicas.forEach { locations.recordSent(it.id, CacheScope.of("m", 2, CacheGroup.EVERYONE), parts) }
        val generation =
            Generation("m", parts, promptTokens = 9_190, outputTokens = 20, cacheGroup = CacheGroup.EVERYONE)
        val engine = EngineDefinition(64, 116_000, 327_680, 550_000.0, listOf("m"))
        val context = EngineContext(engine, CacheStoreDefinition("172.0.0.1:80", "dc-1"))
        val before = clock.readCount
        assertNotNull(chooser.choose(generation, replicas, context, weights, 6.seconds))
        return clock.readCount - before
    }

    private fun replica(index: Int) = RegisteredEndpoint(
        id = "r$index",
        service = "s",
        address = "10.0.0.$index:80",
        dataCentre = "dc-${index % 4}",
        slots = 64,
        isDraining = false,
        startedAtMillis = null,
        models = mapOf("m" to 2),
    )
}
