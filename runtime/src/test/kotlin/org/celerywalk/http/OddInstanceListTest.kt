package org.celerywalk.http

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.AfterEach
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a process that no longer follows the instance list because of odd bytes in it. */
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
    fun `a list that is not JSON in UTF-8 is an error instead of an exception`() {
        val notUtf8 = byteArrayOf(0, 0, 0xFF.toByte(), 0xFE.toByte())
        listOf(notUtf8, byteArrayOf(), "[".repeat(9_000).toByteArray()).forEach {
            body = it
            assertTrue(list.list().get(5, TimeUnit.SECONDS).isLeft(), it.take(4).joinToString())
        }
    }
}
