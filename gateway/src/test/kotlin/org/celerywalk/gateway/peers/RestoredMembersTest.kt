package org.celerywalk.gateway.peers

import okhttp3.OkHttpClient
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.gateway.store.StoreEvents
import org.celerywalk.gateway.store.StoreSync
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against gateways that lose each other, since the store was restored from a copy without their rows. */
class RestoredMembersTest {
    private val store = StoreStandIn().apply { put("op", "config", """{"version":1,"routes":[],"services":[]}""") }
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
    private val timeSource = SuspendAwareTimeSource()
    private val calls = PlatformCalls(OkHttpClient.Builder().retryOnConnectionFailure(false).build())
    private val table = PlatformTable(calls, store.address)
    private val membership = Membership(testSettings(), table, timeSource, log)
    private val state = FleetState(testSettings(), timeSource, { membership.gatewayCount }, { membership.quotaShare })

    // As in a gateway, other reads show that the store was restored.
    private val storeSync = StoreSync(state, table, log, object : StoreEvents {})

    @AfterEach
    fun close() {
        membership.close()
        storeSync.close()
        store.close()
        log.close()
    }

    // Failure: the first read of the copy removes the gateway, which then gets no messages and no share of the quotas.
    @Test
    fun `a living gateway whose row the copy lacks stays a member`() {
        val copy = store.snapshot()
        store.put("gateways", "peer", PEER.toString())
        start()
        awaitUntil { membership.peerAddresses == listOf(PEER) && OWN_NAME in store.keys("gateways") }
        membership.recordMessage("peer", PEER)
        store.restore(copy)
        awaitUntil {
            assertEquals(listOf(PEER), membership.peerAddresses)
            OWN_NAME in store.keys("gateways")
        }
        // One more read shows that the members were not only kept until the own row was written.
        val readsBefore = store.readCount("gateways")
        awaitUntil {
            assertEquals(listOf(PEER), membership.peerAddresses)
            store.readCount("gateways") > readsBefore
        }
    }

    // Failure: some time after the start, the table is read every ten seconds only.
    @Test
    fun `the own row is written again within a few seconds`() {
        val copy = store.snapshot()
        start()
        // The reads become rare after the first ones.
        awaitUntil { store.readCount("gateways") >= FREQUENT_READS && OWN_NAME in store.keys("gateways") }
        store.restore(copy)
        val restoredAt = TimeSource.Monotonic.markNow()
        awaitUntil { OWN_NAME in store.keys("gateways") }
        assertTrue(restoredAt.elapsedNow() < REWRITE_BOUND, "written again after ${restoredAt.elapsedNow()}")
    }

    private fun start() {
        storeSync.start()
        membership.start()
    }

    private companion object {
        const val OWN_NAME = "g"
        val PEER = SocketAddress("127.0.0.1", 9)
        const val FREQUENT_READS = 5
        val REWRITE_BOUND = 4.seconds
    }
}
