package org.celerywalk.instance

import org.celerywalk.platform.ListedInstance
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against gossip that never leaves a data centre, and against processes that retry at the same time. */
class PeerSelectorTest {
    private val own = ProcessIdentity("e1", "1", Role.ENTRY, "r", "near", "e1:1")
    private val membership = Membership({ own }, listOf("settings:1"))
    private val selector = PeerSelector(membership, Random(7))

    @Test
    fun `most exchanges stay within the data centre, and about a quarter leave it`() {
        membership.updateFromInstanceList(
            listOf("near", "far").flatMap { place -> List(10) { agent("$place-$it:1", place) } },
        )
        val chosen = List(1_000) { selector.randomMembers("near", 1).single().dataCentre }
        assertTrue(chosen.count { it != "near" } in 150..350, "${chosen.groupingBy { it }.eachCount()}")
    }

    @Test
    fun `the process itself is not chosen, and members that left the instance list are removed`() {
        membership.updateFromInstanceList(listOf(agent("gone:1", "near")))
        membership.updateFromInstanceList(listOf(agent("e1:1", "near")))
        assertEquals(listOf("settings:1"), membership.others.map { it.address })
    }

    @Test
    fun `the start ends when every entry has answered or has not answered three times`() {
        assertEquals(listOf("settings:1"), selector.startupPeers().map { it.address })
        repeat(3) { membership.recordFailure("settings:1") }
        assertTrue(selector.isStartupComplete())
    }

    @Test
    fun `processes that fail at the same time retry at different times`() {
        val waits = List(100) { Backoff(1.seconds, 8.seconds, Random(it)).nextDelay(3) }
        assertTrue(waits.all { it in 4.seconds..8.seconds })
        assertTrue(waits.groupingBy { it.inWholeMilliseconds / 400 }.eachCount().values.max() < 25, "$waits")
    }

    private fun agent(address: String, dataCentre: String) =
        ListedInstance(address, "agent", "r", dataCentre, address, false)
}
