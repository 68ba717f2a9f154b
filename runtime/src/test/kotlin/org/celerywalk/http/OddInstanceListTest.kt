package org.celerywalk.http

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.AfterEach
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that no longer follows the instance list because of one odd entry in it. */
class OddInstanceListTest {
    @Volatile
    private var body = ByteArray(0)
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        createContext("/") { exchange ->
            exchange.use {
                it.sendResponseHeaders(STATUS_OK, body.size.toLong())
                it.responseBody.write(body)
            }
        }
        start()
    }
    private val limits = HttpLimits(connectTimeout = 5.seconds, callTimeout = 5.seconds, 2, 2)
    private val list = HttpInstanceList("http://127.0.0.1:${server.address.port}", limits)

    @AfterEach
    fun close() {
        list.close()
        server.stop(0)
    }

    @Test
    fun `odd entries are left out while the others hold`() {
        val sound = entry("sound", "10.0.0.1:7001")
        val addresses = listOf("10.0.0.2:65536", "10.0.0.2:0", "10.0.0.2:999999999999", "10.0.0.2", ":7001", "")
        val fields = listOf("name", "role", "region", "data_centre", "address")
        val odd = listOf("null", "7", "1e999999", "[]", "{}", "[".repeat(500) + "]".repeat(500)) +
            addresses.map { entry("odd", it) } +
            fields.map { sound.replace("\"$it\"", "\"other\"") } +
            fields.map { sound.replace(Regex("\"$it\":\"[^\"]*\""), "\"$it\":7") }
        body = """{"instances":[${(odd + sound + odd).joinToString(",")}]}""".toByteArray()
        assertEquals(listOf("sound"), read()?.map { it.name })
    }

    @Test
    fun `a list that is not JSON in UTF-8 is an error instead of an exception`() {
        val notUtf8 = byteArrayOf(0, 0, 0xFF.toByte(), 0xFE.toByte())
        listOf(notUtf8, byteArrayOf(), "[".repeat(9_000).toByteArray()).forEach {
            body = it
            assertTrue(list.list().get(5, TimeUnit.SECONDS).isLeft(), it.take(4).joinToString())
        }
    }

    private fun read() = list.list().get(5, TimeUnit.SECONDS).getOrNull()

    private fun entry(name: String, address: String) =
        """{"name":"$name","role":"entry","region":"r","data_centre":"dc","address":"$address","leaving":false}"""
}
