package org.celerywalk.gateway

import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** Stand-in of the platform's store, which serves the rows that a test puts into it; every row has version 1. */
internal class StoreStandIn : AutoCloseable {
    private val rows = ConcurrentHashMap<Pair<String, String>, String>()

    /** If false, the store answers each call with status 503. */
    @Volatile
    var isUp = true

    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        createContext("/") { exchange ->
            val table = exchange.requestURI.query.orEmpty().substringAfter("table=", "").substringBefore('&')
            val tableRows = rows.filterKeys { it.first == table }.map { (key, value) ->
                val encodedValue = Base64.getEncoder().encodeToString(value.toByteArray())
                """{"table":"$table","key":"${key.second}","value":"$encodedValue","row_version":1}"""
            }
            val body = """{"rows":[${tableRows.joinToString(",")}],"has_more":false,"row_version":1,"now_ms":1}"""
            exchange.requestBody.readAllBytes()
            exchange.sendResponseHeaders(if (isUp) 200 else 503, body.length.toLong())
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
