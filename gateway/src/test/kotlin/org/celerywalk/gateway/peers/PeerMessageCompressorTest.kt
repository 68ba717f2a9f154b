package org.celerywalk.gateway.peers

import java.util.zip.DataFormatException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against messages between gateways that cost too many bytes, or take too much memory. */
class PeerMessageCompressorTest {
    private val compressor = PeerMessageCompressor()

    @Test
    fun `a message has the same content after its transfer`() {
        listOf("", "{}", """{"name":"edge-1","number":7,"work":{"i-1":[1,20,30]}}""", "a".repeat(100_000)).forEach {
            val compressed = compressor.compress(it.toByteArray())
            assertContentEquals(it.toByteArray(), compressor.decompress(compressed, compressed.size))
        }
    }

    @Test
    fun `a usual message shrinks to less than half`() {
        val random = Random(1)
        val work = (0 until 20).joinToString(",") { """"i-${random.nextInt().toUInt().toString(16)}":[3,1200,$it]""" }
        val heard = (0 until 32).joinToString(",") { """"edge-fukuoka-a-$it":${4_000 + it}""" }
        val message = """{"name":"edge-oita-e-1","number":4123,"heard":{$heard},"work":{$work}}""".toByteArray()
        val size = compressor.compress(message).size
        assertTrue(size * 2 < message.size, "$size of ${message.size} bytes")
    }

    @Test
    fun `bytes that are no message, or one that is too large, are rejected`() {
        val large = compressor.compress(ByteArray(PeerMessageCompressor.MAX_MESSAGE_BYTES + 9_000))
        val cut = compressor.compress("""{"name":"edge-1","number":7}""".toByteArray()).dropLast(3).toByteArray()
        val random = List(200) { Random(it).nextBytes(40) }
        (random + "{\"name\":\"a\"}".toByteArray()).forEach { bytes ->
            runCatching { compressor.decompress(bytes, bytes.size) }
                .onFailure { assertTrue(it is DataFormatException, "$it") }
        }
        listOf(large, cut, ByteArray(0)).forEach { bytes ->
            assertFailsWith<DataFormatException> { compressor.decompress(bytes, bytes.size) }
        }
    }
}
