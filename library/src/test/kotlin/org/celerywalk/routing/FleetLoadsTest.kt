package org.celerywalk.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against work of other gateways that is counted twice, lost with a message, or kept after they are gone. */
class FleetLoadsTest {
    private val time = TestTimeSource()
    private val loads = FleetLoads(time)
    private val load = loads.getOrCreate("r1")

    @Test
    fun `work of this process and of all peers is summed up`() {
        load.add(EndpointWork(calls = 1, cacheTokens = 10))
        report("a", calls = 2)
        report("b", calls = 4)
        assertEquals(7, load.work().calls)
    }

    @Test
    fun `a report replaces the last one of its peer`() {
        report("a", calls = 2)
        report("a", calls = 5)
        assertEquals(5, load.work().calls)
    }

    @Test
    fun `an endpoint missing in a complete report has no work and one missing in a partial report is unchanged`() {
        report("a", calls = 2)
        loads.recordPeerReport("a", emptyMap(), isComplete = false)
        assertEquals(2, load.work().calls)
        loads.recordPeerReport("a", mapOf("r1" to RankedWork()), isComplete = false)
        assertEquals(EndpointWork(), load.work())
        report("a", calls = 2)
        loads.recordPeerReport("a", emptyMap(), isComplete = true)
        assertEquals(EndpointWork(), load.work())
    }

    @Test
    fun `work of a silent peer is forgotten and partial reports keep it`() {
        report("a", calls = 2)
        report("b", calls = 4)
        time += 700.milliseconds
        loads.recordPeerReport("b", emptyMap(), isComplete = false)
        time += 700.milliseconds
        loads.expirePeerReports(maxAge = 1.seconds)
        assertEquals(4, load.work().calls)
        report("a", calls = 1)
        assertEquals(5, load.work().calls)
    }

    private fun report(peer: String, calls: Int) =
        loads.recordPeerReport(peer, mapOf("r1" to RankedWork.of(EndpointWork(calls = calls))), isComplete = true)
}
