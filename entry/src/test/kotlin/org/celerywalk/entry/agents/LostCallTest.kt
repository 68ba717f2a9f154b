package org.celerywalk.entry.agents

import io.grpc.CallOptions
import org.celerywalk.configuration.EndpointEntry
import org.celerywalk.entry.FakeAgent
import org.celerywalk.protocol.ServiceRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.rpc.openChannel
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class LostCallTest {
    @Test
    fun `only a call that never left this process counts as not sent`() {
        // Guards against reporting not_run for a call that an agent may have received.
        val closedPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertEquals(false, wasSent("127.0.0.1:$closedPort"))
        val agent = FakeAgent("r0").apply { onServiceCall = { null } }
        agent.use { assertEquals(true, wasSent(it.address)) }
        assertEquals(1, agent.serviceRequests.size)
    }

    private fun wasSent(address: String): Boolean? {
        val client = AgentClient(EndpointEntry("e", "d", address), openChannel(address, FakeAgent.SECRET))
        val result =
            client.unaryCall(AgentMethods.CALL_SERVICE, ServiceRequest.getDefaultInstance(), CallOptions.DEFAULT)
        return result.get(5, TimeUnit.SECONDS).leftOrNull()?.wasSent.also { client.close() }
    }
}
