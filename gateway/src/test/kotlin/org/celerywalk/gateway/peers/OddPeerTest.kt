package org.celerywalk.gateway.peers

import com.fasterxml.jackson.core.JsonProcessingException
import okhttp3.OkHttpClient
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.SocketAddress
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.TestGateway
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.ExchangeTiming
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.io.PrintStream
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.test.Test
import kotlin.test.assertContains

/** Guards against an odd row or message that cuts a gateway off from the other gateways. */
class OddPeerTest {
    private val store = StoreStandIn()
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))

    @AfterEach
    fun close() {
        store.close()
        log.close()
    }

    @Test
    fun `a member row without a usable address does not keep messages from the other members`() {
        val addresses = listOf("999.0.0.1:80", "10.0.0.1:0", "10.0.0.1:65536", "no address", "", "::1:80")
        repeat(ODD_MEMBERS) { store.put("gateways", "odd-$it", addresses[it % addresses.size]) }
        DatagramSocket(0, InetAddress.getByName("127.0.0.1")).use { peer ->
            store.put("gateways", "peer", "127.0.0.1:${peer.localPort}")
            store.put("op", "config", """{"version":1,"routes":[],"services":[]}""")
            TestGateway(store).start()
            peer.soTimeout = MAX_WAIT_MILLIS
            val packet = DatagramPacket(ByteArray(MAX_MESSAGE_BYTES), MAX_MESSAGE_BYTES)
            peer.receive(packet)
            val message = PeerMessageCompressor().use { it.decompress(packet.data, packet.length) }
            assertContains(String(message), "\"name\":\"g\"")
        }
    }

    @Test
    fun `no message of a peer is taken for anything but unreadable or valid`() {
        val timeSource = SuspendAwareTimeSource()
        val table = PlatformTable(PlatformCalls(OkHttpClient()), store.address)
        val membership = Membership(testSettings(), table, timeSource, log)
        val state = FleetState(testSettings(), timeSource, { membership.gatewayCount }, { membership.quotaShare })
        val timing = ExchangeTiming { membership.gatewayCount }
        val receiver =
            PeerStateReceiver(state, membership, timing, log, object : PeerEvents {}) { timeSource.markNow() }
        oddMessages().forEach { text ->
            val bytes = text.toByteArray()
            val message = try {
                PeerStateCodec.decode(bytes, bytes.size)
            } catch (_: JsonProcessingException) {
                null
            }
            message?.let { receiver.apply(it, SocketAddress("127.0.0.1", 1)) }
        }
    }

    private fun oddMessages(): List<String> {
        val values = listOf(
            "null", "true", "-1", "0", "1e999999", "-1e999999", "1.5", "9".repeat(20), "-${"9".repeat(900)}",
            "9223372036854775807", "-9223372036854775808", "2147483647", "\"\"", "\"x\"", "[]", "{}",
        )
        val fields = listOf(
            "number", "partial", "heard", "configuration", "confirmed", "quotas", "work", "versions", "changing",
            "ejected", "placed", "lease", "weight-ages", "caches", "suspects", "leaving",
        )
        val nestedValues = values + values.flatMap { v ->
            val array = List(6) { v }.joinToString(",", "[", "]")
            listOf("[$v]", "{\"\":$v}", "{\"g\":$v}", "[[$v,$v,$v]]", "{\"m\":{\"1\":$v}}", "{\"m\":$array}")
        }
        return fields.flatMap { field -> nestedValues.map { """{"name":"odd","$field":$it}""" } } +
            values.map { """{"name":$it}""" } + values + "[".repeat(60_000) + "\u0000\u0000\u0000{"
    }

    private companion object {
        // Enough for some of them to be sent to before the peer, in whatever order the gateway keeps its members.
        const val ODD_MEMBERS = 120
        const val MAX_WAIT_MILLIS = 10_000
        const val MAX_MESSAGE_BYTES = 60_000
    }
}
