package org.celerywalk.routing

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.celerywalk.endpoint.ReplicaSummary
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PrefixEndpointChooserTest {
    private val clock = TestTimeSource()

    @Test
    fun `No replica that refuses requests or has another model or other weights is chosen`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 21, iterations = 200), Arb.long()) { seed ->
            val random = Random(seed)
            val chooser = PrefixEndpointChooser(timeSource = clock)
            repeat(20) {
                val replicas = List(12) { n ->
                    replica(n).copy(
                        accepting = random.nextBoolean(),
                        weights = listOf("w1", "w2").random(random),
                        model = listOf("m", "other").random(random),
                    )
                }
                val request = request(random.nextInt(), random.nextInt(5))
                val chosen = chooser.choose(request, replicas)
                assertTrue(chosen.all { it.accepting && it.model == "m" && it.weights == "w1" })
                assertEquals(chosen.isEmpty(), replicas.none { it.accepting && it.model == "m" && it.weights == "w1" })
                chosen.firstOrNull()?.let {
                    chooser.recordSent(request, it)
                    chooser.recordAnswer(request, it, 0)
                    chooser.recordEnd(request, it)
                }
            }
        }
    }

    @Test
    fun `A restarted engine is not expected to hold the cache of its previous incarnation`() {
        val chooser = PrefixEndpointChooser(timeSource = clock)
        val replicas = List(8) { replica(it) }
        val request = request(1, document = 1)
        val holder = chooser.choose(request, replicas).last()
        chooser.recordSent(request, holder)
        chooser.recordAnswer(request, holder, 0)
        assertEquals(holder, chooser.choose(request, replicas).first())
        val restarted = replicas.map { if (it == holder) it.copy(engineIncarnation = "new", queuedTokens = 1) else it }
        assertTrue(chooser.choose(request, restarted).first().engineIncarnation != "new")
    }

    @Test
    fun `The number of tracked pieces is bounded when every request has a new prefix`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 22, iterations = 10), Arb.int(10..200)) { bound ->
            val chooser = PrefixEndpointChooser(RoutingSettings(maxTrackedPieces = bound), clock)
            val replicas = List(8) { replica(it) }
            repeat(300) { number ->
                val request = request(number, document = number)
                val chosen = chooser.choose(request, replicas).first()
                chooser.recordSent(request, chosen)
                chooser.recordAnswer(request, chosen, 0)
                assertTrue(chooser.trackedPieceCount <= bound)
            }
        }
    }

    @Test
    fun `Restarted entries agree on the replica of each prefix and spread the prefixes over all replicas`() {
        val replicas = List(8) { replica(it) }
        val firstChoices = (0 until 400).map { document ->
            val entries = List(3) { PrefixEndpointChooser(timeSource = clock) }
            entries.map { it.choose(request(document, document), replicas).first().replica }.toSet().single()
        }
        val counts = firstChoices.groupingBy { it }.eachCount()
        assertEquals(8, counts.size)
        assertTrue(counts.values.max() <= 2 * 400 / 8, "$counts")
    }

    @Test
    fun `A burst for one prefix is spread over replicas before the next load report`() {
        val chooser = PrefixEndpointChooser(timeSource = clock)
        val replicas = List(8) { replica(it) }
        val chosen = (0 until 60).map { number ->
            val request = request(number, document = 1).copy(promptTokens = 23_500)
            chooser.choose(request, replicas).first().also { chooser.recordSent(request, it) }.replica
        }
        assertTrue(chosen.groupingBy { it }.eachCount().values.max() <= 30, "$chosen")
    }

    /** Guards against a repeated prefill of a prefix that a request of another entry left in a replica's cache. */
    @Test
    fun `A replica that reports the last piece of a prefix is preferred to the one that hashing selects`() {
        val chooser = PrefixEndpointChooser(timeSource = clock)
        val replicas = List(8) { replica(it) }
        val request = request(1, document = 1)
        val hashedReplica = chooser.choose(request, replicas).first()
        val recentPieces = RecentPieces().apply { recordUse(request.pieceNames, cachedPieces = 2) }.shortNames()
        assertEquals(request.pieceNames.drop(1).map { it.toInt() }, recentPieces)
        val replicasWithReport = replicas.map { if (it.replica == "r3") it.copy(recentPieces = recentPieces) else it }
        assertEquals("r3", chooser.choose(request, replicasWithReport).first().replica)
        assertTrue(hashedReplica.replica != "r3", "hashing must select another replica than the reporting one")
    }

    /** Guards against a slow replica with its full share of the requests, and against idle time that counts as slow. */
    @Test
    fun `The prefill speed counts busy time only, and a slow replica gets fewer requests`() {
        val speed = PrefillSpeed(clock)
        repeat(4) {
            speed.recordPrefillStart()
            clock += 1.seconds
            speed.recordPrefillEnd(5_000)
            clock += 9.seconds
        }
        assertEquals(5_000, speed.tokensPerSecond)
        val chooser = PrefixEndpointChooser(timeSource = clock)
        val replicas = List(8) { replica(it).copy(queuedTokens = 10_000, prefillTokensPerSecond = 20_000) }
        val slowed = replicas.map { if (it.replica == "r2") it.copy(prefillTokensPerSecond = 2_000) else it }
        assertTrue((0 until 100).none { chooser.choose(request(it, document = it), slowed).first().replica == "r2" })
    }

    private fun replica(number: Int) =
        ReplicaSummary("e$number", "r$number", "m", "w1", "i$number", accepting = true, 0, 0, 16)

    private fun request(id: Int, document: Int) =
        RoutingRequest("$id", "a", "m", "w1", List(5) { document * 31L + it + 1 }, 4_000, 20_500, 0)
}
