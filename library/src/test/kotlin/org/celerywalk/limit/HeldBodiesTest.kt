package org.celerywalk.limit

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against gateways that together send an endpoint more bodies than its memory holds. */
class HeldBodiesTest {
    @Test
    fun `gateways that decide between two reports stay within the limit together`() = repeat(SEEDS) { seed ->
        val random = Random(seed)
        val gateways = List(GATEWAYS) { HeldBodies(LIMIT_BYTES) { GATEWAYS } }
        val bodies = gateways.map { mutableListOf<Long>() }
        repeat(ROUNDS) {
            exchangeReports(gateways)
            repeat(random.nextInt(200)) {
                val index = random.nextInt(GATEWAYS)
                val body = random.nextLong(1, LIMIT_BYTES / GATEWAYS / 2)
                if (random.nextInt(3) == 0 && bodies[index].isNotEmpty()) {
                    gateways[index].release(ENDPOINT, bodies[index].removeLast())
                } else if (gateways[index].tryHold(ENDPOINT, body)) {
                    bodies[index] += body
                }
            }
            val held = bodies.sumOf { it.sum() }
            // A gateway's first body at an endpoint that holds nothing may exceed the gateway's share.
            assertTrue(held <= LIMIT_BYTES + GATEWAYS * LIMIT_BYTES / GATEWAYS / 2, "seed $seed: $held bytes are held")
        }
    }

    @Test
    fun `a gateway takes its share of the room, and all of it over several reports`() {
        val held = HeldBodies(LIMIT_BYTES) { 2 }
        assertTrue(held.tryHold(ENDPOINT, 100))
        assertEquals(listOf(true, false), listOf(400L, 1L).map { held.tryHold(ENDPOINT, it) })
        assertEquals(mapOf(ENDPOINT to 500L), held.report())
        assertEquals(listOf(true, false), listOf(250L, 1L).map { held.tryHold(ENDPOINT, it) })
    }

    @Test
    fun `an endpoint that holds nothing takes any body up to the limit, and another one only beside the peers'`() {
        val held = HeldBodies(LIMIT_BYTES) { 10 }
        assertEquals(listOf(false, true, false), listOf(LIMIT_BYTES + 1, LIMIT_BYTES, 1L).map { held.tryHold("a", it) })
        held.recordPeerReport("peer", mapOf("b" to LIMIT_BYTES))
        assertEquals(false, held.tryHold("b", 1))
        held.recordPeerReport("peer", emptyMap())
        assertEquals(true, held.tryHold("b", LIMIT_BYTES))
    }

    @Test
    fun `answered bodies and those of a silent peer make room again`() {
        val held = HeldBodies(LIMIT_BYTES) { 1 }
        held.recordPeerReport("peer", mapOf(ENDPOINT to 600L))
        assertEquals(listOf(true, false), listOf(400L, 400L).map { held.tryHold(ENDPOINT, it) })
        held.release(ENDPOINT, 400)
        assertTrue(held.tryHold(ENDPOINT, 400))
        held.forgetPeer("peer")
        assertTrue(held.tryHold(ENDPOINT, 600))
        held.forgetEndpoint(ENDPOINT)
        held.release(ENDPOINT, 400)
        assertEquals(emptyMap(), held.report())
    }

    private fun exchangeReports(gateways: List<HeldBodies>) {
        val reports = gateways.map { it.report() }
        gateways.forEachIndexed { receiver, gateway ->
            reports.forEachIndexed { sender, report ->
                if (sender != receiver) gateway.recordPeerReport("g-$sender", report)
            }
        }
    }

    private companion object {
        const val ENDPOINT = "e"
        const val LIMIT_BYTES = 1_000L
        const val GATEWAYS = 5
        const val ROUNDS = 50
        const val SEEDS = 20
    }
}
