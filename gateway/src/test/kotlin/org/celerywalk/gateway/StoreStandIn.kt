package org.celerywalk.gateway

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.celerywalk.platform.wire.JsonTree
import java.net.InetSocketAddress
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/** Stand-in of the platform's store, which serves the rows that a test puts into it. */
internal class StoreStandIn : AutoCloseable {
    private class Row(val value: String?, val version: Long)

    private val lock = Object()
    private val rows = HashMap<Pair<String, String>, Row>()
    private var newestVersion = 0L

    // Oldest version from which on the feed still has all changes.
    private var historyStart = 0L

    /** If false, the store answers each call with status 503. */
    @Volatile
    var isUp = true

    /** Bytes per second of each response, or null for no limit. */
    @Volatile
    var bytesPerSecond: Int? = null

    /** Number of calls of the feed. */
    val feedCalls = AtomicInteger()

    /** Number of times that each row was sent, by key. */
    val transfers = ConcurrentHashMap<String, AtomicInteger>()

    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
        executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        createContext("/") { exchange -> exchange.use(::answer) }
        start()
    }

    val address = "127.0.0.1:${server.address.port}"

    fun put(table: String, key: String, value: String) = synchronized(lock) {
        rows[table to key] = Row(value, ++newestVersion)
        lock.notifyAll()
    }

    /** Returns the keys of the rows of [table]. */
    fun keys(table: String): Set<String> = synchronized(lock) {
        rows.filter { it.key.first == table && it.value.value != null }.keys.map { it.second }.toSet()
    }

    /** Removes a row; the feed reports the removal. */
    fun remove(table: String, key: String) = synchronized(lock) {
        rows[table to key] = Row(null, ++newestVersion)
        lock.notifyAll()
    }

    /** Discards the history, so that the feed no longer knows the changes up to now. */
    fun forgetHistory() = synchronized(lock) { historyStart = ++newestVersion }

    override fun close() {
        server.stop(0)
    }

    private fun answer(exchange: HttpExchange) {
        val query = exchange.requestURI.query.orEmpty().split('&')
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val body = exchange.requestBody.readAllBytes()
        if (isUp && exchange.requestURI.path == "/v1/rows-tx") transact(body)
        val after = query["after"]?.toLong() ?: -1
        val isFeed = exchange.requestURI.path == "/v1/rows-feed"
        if (isFeed) feedCalls.incrementAndGet()
        when {
            !isUp -> send(exchange, UNAVAILABLE, "")
            isFeed && synchronized(lock) { after < historyStart } -> send(exchange, HISTORY_GONE, "")
            else -> {
                val table = query["table"].orEmpty()
                if (isFeed) awaitRows(table, after, query.getValue("wait_ms").toLong())
                send(exchange, OK, encode(table, after, withRemoved = isFeed))
            }
        }
    }

    // Conditions are not checked.
    private fun transact(body: ByteArray) {
        val transaction = JsonTree.parse(body)
        transaction.path("writes").forEach {
            val value = Base64.getDecoder().decode(it.path("value").asText()).decodeToString()
            put(it.path("table").asText(), it.path("key").asText(), value)
        }
        transaction.path("remove").forEach { remove(it.path("table").asText(), it.path("key").asText()) }
    }

    private fun awaitRows(table: String, after: Long, waitMillis: Long) = synchronized(lock) {
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis)
        while (rows.none { it.key.first == table && it.value.version > after }) {
            val millisLeft = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())
            if (millisLeft <= 0) return
            lock.wait(millisLeft)
        }
    }

    private fun encode(table: String, after: Long, withRemoved: Boolean): String = synchronized(lock) {
        val changedRows = rows.filter { it.key.first == table && it.value.version > after }
        val tableRows = changedRows.filter { withRemoved || it.value.value != null }.map { (key, row) ->
            transfers.computeIfAbsent(key.second) { AtomicInteger() }.incrementAndGet()
            val content = row.value?.let { """"value":"${Base64.getEncoder().encodeToString(it.toByteArray())}"""" }
                ?: """"removed":true"""
            """{"table":"$table","key":"${key.second}",$content,"row_version":${row.version}}"""
        }
        """{"rows":[${tableRows.joinToString(",")}],"has_more":false,"row_version":$newestVersion,"now_ms":1}"""
    }

    private fun send(exchange: HttpExchange, status: Int, body: String) {
        val bytes = body.toByteArray()
        exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        val rate = bytesPerSecond
        if (rate == null) return exchange.responseBody.write(bytes)
        bytes.toList().chunked(rate / PARTS_PER_SECOND).forEach { part ->
            exchange.responseBody.write(part.toByteArray())
            exchange.responseBody.flush()
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) / PARTS_PER_SECOND)
        }
    }

    private companion object {
        const val OK = 200
        const val HISTORY_GONE = 410
        const val UNAVAILABLE = 503
        const val PARTS_PER_SECOND = 20
    }
}
