package org.celerywalk.gateway.peers

import org.celerywalk.cache.CacheEvent
import org.celerywalk.cache.CacheEvents
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.routing.EndpointWork
import org.celerywalk.routing.RankedWork
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against messages whose size grows with the fleet, and against changes that messages leave out. */
class PeerStateTest {
    private val state = PeerState(
        sender = "edge-1",
        number = 7,
        lastNumbers = mapOf("edge-2" to 12L),
        configuration = 3,
        confirmationAge = 250.milliseconds,
        quotas = mapOf("acme" to 9_000L),
        work = mapOf(
            "i-1" to RankedWork.of(EndpointWork(1, 2, 3)),
            "i-2" to RankedWork(
                mapOf(
                    1 to EndpointWork(4, 5, 6, deferredPrefillTokens = 7, deferredCalls = 1, deferredCacheTokens = 2),
                ),
            ),
        ),
        versions = mapOf("i-1" to mapOf("m" to 2)),
        changingEndpoints = setOf("i-3"),
        ejectedEndpoints = setOf("i-4"),
        weightAges = mapOf("m" to mapOf(2 to 1_500.milliseconds)),
        placements = listOf(PeerPlacement("i-1", "m/v2", listOf("a", "b"))),
        cacheEvents = mapOf(
            "i-1" to CacheEvents(9, 40, 42, listOf(CacheEvent("m/v2", "a", 800), CacheEvent("m/v2", "b", 0))),
            "i-2" to CacheEvents(3, 7, 7, emptyList()),
        ),
        holdsLease = true,
    )

    @Test
    fun `a message arrives as it was sent and its confirmation never looks younger`() {
        val decoded = decode(PeerStateCodec.encode(state))
        assertEquals(state.copy(confirmationAge = 251.milliseconds), decoded)
        assertEquals(PeerState("edge-1", 1), decode(PeerStateCodec.encode(PeerState("edge-1", 1))))
        assertEquals(state.changesSince(state), decode(PeerStateCodec.encode(state.changesSince(state))))
    }

    @Test
    fun `a message without a sender is ignored and placements of another form are left out`() {
        assertEquals(null, decode("""{"number":1}""".toByteArray()))
        val message = """{"name":"edge-1","number":1,"placed":[["i-1","m"],"x",["i-1","m","a,b"]]}"""
        assertEquals(1, decode(message.toByteArray())?.placements?.size)
    }

    @Test
    fun `a partial message reports what has changed and work that has ended`() {
        val next = state.copy(
            number = 8,
            quotas = mapOf("acme" to 9_000L, "other" to 5L),
            work = mapOf("i-1" to RankedWork.of(EndpointWork(2, 2, 3))),
        )
        val changes = next.changesSince(state)
        assertEquals(mapOf("other" to 5L), changes.quotas)
        assertEquals(mapOf("i-1" to RankedWork.of(EndpointWork(2, 2, 3)), "i-2" to RankedWork()), changes.work)
        assertTrue(changes.versions.isEmpty() && changes.lastNumbers.isEmpty() && !changes.isComplete)
    }

    @Test
    fun `the size of a message without changes does not depend on the size of the fleet`() {
        val sizes = listOf(30, 1_400).map { count ->
            val large = state.copy(
                lastNumbers = List(count) { "edge-$it" to 1L }.toMap(),
                quotas = List(count) { "account-$it" to 1L }.toMap(),
                work = List(count) { "i-$it" to RankedWork.of(EndpointWork(calls = 1)) }.toMap(),
                versions = List(count) { "i-$it" to mapOf("m" to 1) }.toMap(),
                placements = emptyList(),
                cacheEvents = emptyMap(),
            )
            PeerStateCodec.encode(large.copy(number = 8).changesSince(large)).size
        }
        assertEquals(sizes.first(), sizes.last())
    }

    // Guards against evidence that outgrows a datagram, which would keep quotas and work from the other gateways too.
    @Test
    fun `evidence about many parts with names of any length fits into one message`() {
        val quarantine = PromptPartQuarantine(TestTimeSource())
        (1..16).forEach { start ->
            (1..48).forEach { part ->
                val longName = "0".repeat(9_000) + part
                quarantine.recordCrash("i-$start/1796464840696", listOf(longName, longName.takeLast(LONGEST_NAME)))
            }
        }
        val size = PeerStateCodec.encode(PeerState("g", 1, suspectParts = quarantine.evidence())).size
        assertTrue(size <= MAX_DATAGRAM_BYTES, "$size bytes")
    }

    private fun decode(bytes: ByteArray) = PeerStateCodec.decode(bytes, bytes.size)

    private companion object {
        const val MAX_DATAGRAM_BYTES = 60_000
        const val LONGEST_NAME = 64
    }
}
