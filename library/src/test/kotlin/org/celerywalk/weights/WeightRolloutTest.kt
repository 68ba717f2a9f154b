package org.celerywalk.weights

import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.FleetLoads
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against lost serving capacity and missed deadlines when new weights are rolled out under load. */
class WeightRolloutTest {
    private val loads = FleetLoads(TestTimeSource())
    private val rollout = WeightRollout(loads)

    @Test
    fun `new weights - three quarters of the replicas keep serving while the deadline is far`() {
        assertEquals(2, rollout.maxConcurrentChanges(replicaCount = 8, outdatedCount = 8, timeLeft = 6.seconds))
        assertEquals(6, rollout.maxConcurrentChanges(replicaCount = 24, outdatedCount = 24, timeLeft = 6.seconds))
    }

    @Test
    fun `new weights - more replicas change at once close to the deadline, but never more than half`() {
        assertEquals(3, rollout.maxConcurrentChanges(replicaCount = 8, outdatedCount = 6, timeLeft = 2500.milliseconds))
        assertEquals(4, rollout.maxConcurrentChanges(replicaCount = 8, outdatedCount = 8, timeLeft = 1.seconds))
        assertEquals(4, rollout.maxConcurrentChanges(replicaCount = 8, outdatedCount = 8, timeLeft = (-1).seconds))
    }

    @Test
    fun `new weights - slow changes raise the number of replicas that change at once`() {
        repeat(30) { rollout.recordChangeTime(3.seconds) }
        assertTrue(rollout.maxConcurrentChanges(replicaCount = 8, outdatedCount = 8, timeLeft = 6.seconds) >= 4)
    }

    @Test
    fun `new weights - both replicas of a pair may change at once although none is left to serve`() {
        assertEquals(2, rollout.maxConcurrentChanges(replicaCount = 2, outdatedCount = 2, timeLeft = 6.seconds))
    }

    @Test
    fun `replicas with the least work change first, and replicas with the newest weights do not change`() {
        loads.getOrCreate("b").add(EndpointWork(calls = 3))
        loads.getOrCreate("c").recordWeightsVersion("m", 2)
        val outdatedReplicas = rollout.outdatedReplicas(TargetWeights("m", 2), listOf("b", "a", "c").map(::replica))
        assertEquals(listOf("a", "b"), outdatedReplicas.map { it.id })
    }

    @Test
    fun `lost replicas - ejected replicas change last, however little work they have`() {
        loads.getOrCreate("b").add(EndpointWork(calls = 3, queuedPrefillTokens = 9_000))
        loads.getOrCreate("c").add(EndpointWork(calls = 5, queuedPrefillTokens = 500))
        repeat(2) { loads.getOrCreate("a").health.recordFailure() }
        val outdatedReplicas = rollout.outdatedReplicas(TargetWeights("m", 2), listOf("a", "b", "c").map(::replica))
        assertEquals(listOf("c", "b", "a"), outdatedReplicas.map { it.id })
    }

    @Test
    fun `new weights published twice - replicas with the oldest weights change first, however much work they have`() {
        listOf("a", "b").forEach { loads.getOrCreate(it).recordWeightsVersion("m", 2) }
        listOf("c", "d").forEach { loads.getOrCreate(it).add(EndpointWork(calls = 9, queuedPrefillTokens = 20_000)) }
        val outdatedReplicas =
            rollout.outdatedReplicas(TargetWeights("m", 3), listOf("a", "c", "b", "d").map(::replica))
        assertEquals(listOf("c", "d", "a", "b"), outdatedReplicas.map { it.id })
    }

    private fun replica(id: String) = RegisteredEndpoint(
        id,
        "s",
        "10.0.0.1:80",
        "dc",
        64,
        isDraining = false,
        startedAtMillis = null,
        mapOf("m" to 1),
    )
}
