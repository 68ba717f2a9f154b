package org.celerywalk.gateway.endpoints

import okhttp3.OkHttpClient
import org.celerywalk.cache.CacheEvents
import org.celerywalk.endpoint.RegisteredEndpoint
import org.celerywalk.fleet.CallerLimits
import org.celerywalk.fleet.EngineDefinition
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.fleet.ServiceDefinition
import org.celerywalk.gateway.EndpointStandIn
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ResponsibleInstance
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against every gateway polling the cache events of every replica. */
class CacheEventSubscriptionsTest {
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
    private val replicas = List(12) {
        EndpointStandIn(EndpointStandIn.responseScript(200, """{"epoch":1,"next":5,"lost":false,"events":[]}"""))
    }
    private val state = FleetState(testSettings(), SuspendAwareTimeSource(), { 2 }, { 1.0 })
    private val subscriptions = CacheEventSubscriptions(
        state,
        ReplicaCalls(PlatformCalls(OkHttpClient())),
        log,
        GatewayMetrics(),
    ) { setOf(PEER) }

    @AfterEach
    fun close() {
        subscriptions.close()
        replicas.forEach { it.close() }
    }

    @Test
    fun `a gateway polls only its own part of the caches while a peer reports the others`() {
        val engine = EngineDefinition(64, 100_000, 1, 1.0, listOf("m"))
        val service = ServiceDefinition("llm", Int.MAX_VALUE, engine, null)
        state.adopt(FleetConfiguration(1, emptyList(), mapOf("llm" to service), null, CallerLimits(1, 1)), checksum = 1)
        state.directory.update(replicas.mapIndexed { index, replica -> endpoint("i-$index", replica.address) })
        val (own, reportedByPeer) = replicas.indices
            .partition { ResponsibleInstance.isResponsible(testSettings().instance, "i-$it", listOf(PEER)) }
        assertTrue(own.isNotEmpty() && reportedByPeer.isNotEmpty())
        subscriptions.start()
        awaitUntil {
            reportedByPeer.forEach { subscriptions.applyReport("i-$it", CacheEvents(1, 5, 5, emptyList())) }
            replicas.all { it.receivedRequests.isNotEmpty() } &&
                own.all { replicas[it].receivedRequests.size >= 10 }
        }
        assertEquals(setOf(1), reportedByPeer.map { replicas[it].receivedRequests.size }.toSet())
    }

    private fun endpoint(id: String, address: String) = RegisteredEndpoint(
        id = id,
        service = "llm",
        address = address,
        dataCentre = "dc",
        slots = 4,
        isDraining = false,
        startedAtMillis = null,
        models = emptyMap(),
    )

    private companion object {
        const val PEER = "peer"
    }
}
