package org.celerywalk.gateway

import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** Stands in for the platform's store: rows that the test sets, with one version for all. */
internal class StoreStandIn : AutoCloseable {
    private val rows = ConcurrentHashMap<Pair<String, String>, String>()

    /** False while the store answers nothing useful. */
    @Volatile
    var up = true

    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        createContext("/") { exchange ->
            val table = exchange.requestURI.query.orEmpty().substringAfter("table=", "").substringBefore('&')
            val found = rows.filterKeys { it.first == table }.map { (key, value) ->
                val text = Base64.getEncoder().encodeToString(value.toByteArray())
                """{"table":"$table","key":"${key.second}","value":"$text","row_version":1}"""
            }
            val body = """{"rows":[${found.joinToString(",")}],"has_more":false,"row_version":1,"now_ms":1}"""
            exchange.requestBody.readAllBytes()
            exchange.sendResponseHeaders(if (up) 200 else 503, body.length.toLong())
            exchange.responseBody.use { it.write(body.toByteArray()) }
        }
        start()
    }

    val address = "127.0.0.1:${server.address.port}"

    fun put(table: String, key: String, value: String) {
        rows[table to key] = value
    }

    override fun close() {
        server.stop(0)
    }
}
