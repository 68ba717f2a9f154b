package org.celerywalk.standins.table

import io.javalin.http.Context
import io.javalin.http.HttpStatus
import io.javalin.http.bodyAsClass
import org.celerywalk.standins.StandIn
import org.celerywalk.standins.TokenBucket
import org.celerywalk.standins.VersionedMap
import org.celerywalk.standins.abortConnection
import org.celerywalk.standins.mergeJsonFields
import org.celerywalk.standins.startServer
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stand-in for the platform's transactional table service; docs/stand-ins.md describes the HTTP API.
 *
 * Reads and scans share one rate limit, and transactions have another; a call above the limit gets 429.
 */
public class TableStandIn(
    port: Int = 0,
    writesPerSecond: Int = DEFAULT_WRITES_PER_SECOND,
    readsPerSecond: Int = DEFAULT_READS_PER_SECOND,
) : StandIn {
    private val lock = ReentrantLock()
    private val faultsChanged = lock.newCondition()
    private val records = VersionedMap<WireRecord>()
    private val writeLimit = TokenBucket(writesPerSecond)
    private val readLimit = TokenBucket(readsPerSecond)
    private var lastVersion = 0L
    private var readCount = 0L
    private var writeCount = 0L

    /** Faults that apply to calls from now on, also to calls that are waiting because of earlier faults. */
    public var faults: TableFaults = TableFaults()
        get() = lock.withLock { field }
        set(value) = lock.withLock {
            field = value
            faultsChanged.signalAll()
        }

    private val server = startServer(port) { config ->
        config.routes.post("/v1/read") { ctx -> serve(ctx, readLimit) { read(ctx.bodyAsClass()) } }
        config.routes.post("/v1/scan") { ctx -> serve(ctx, readLimit) { scan(ctx.bodyAsClass()) } }
        config.routes.post("/v1/transact", ::transact)
        config.routes.get("/test/faults") { it.json(faults) }
        config.routes.post("/test/faults") { ctx ->
            faults = mergeJsonFields(faults, ctx.body())
            ctx.json(faults)
        }
        config.routes.get("/test/records") { ctx ->
            ctx.json(scan(ScanRequest(ctx.queryParam("prefix").orEmpty(), "", Int.MAX_VALUE), Duration.ZERO))
        }
        config.routes.get("/test/counts") {
            it.json(lock.withLock { mapOf("reads" to readCount, "writes" to writeCount) })
        }
    }

    override val port: Int = server.port()

    override fun close() {
        faults = TableFaults(outage = "cut")
        server.stop()
    }

    /** Returns the latest value of [key], null if there is none; faults do not apply. */
    public fun value(key: String): String? = lock.withLock { records.get(key)?.value }

    private fun read(request: ReadRequest): ReadReply = lock.withLock {
        readCount++
        val age = faults.oldReadsMillis.milliseconds
        ReadReply(request.keys.mapNotNull { key -> records.get(key, age)?.let { key to it } }.toMap())
    }

    private fun scan(request: ScanRequest, age: Duration = faults.oldReadsMillis.milliseconds): ScanReply =
        lock.withLock {
            readCount++
            val matches = records.entriesWithPrefix(request.prefix, age).filter { it.first > request.after }
            val page = matches.take(request.limit).toList()
            ScanReply(page.map { (key, record) -> WireKeyRecord(key, record.value, record.version) })
        }

    private fun transact(ctx: Context) = serve(ctx, writeLimit) {
        val request = ctx.bodyAsClass<TransactRequest>()
        lock.withLock { commit(request) }
    }

    private fun commit(request: TransactRequest): TransactReply? {
        val conditionsHold = request.conditions.all { condition ->
            val current = records.get(condition.key)
            if (condition.absent) current == null else current?.version == condition.version
        }
        if (!conditionsHold) {
            val keys = request.conditions.map { it.key }
            return TransactReply(conflict = keys.mapNotNull { key -> records.get(key)?.let { key to it } }.toMap())
        }
        lastVersion++
        writeCount++
        request.writes.forEach { write ->
            records[write.key] = write.value?.takeUnless { write.delete }?.let { WireRecord(it, lastVersion) }
        }
        return TransactReply(committed = lastVersion).takeUnless { consumeLostAnswer() }
    }

    /** Returns whether to lose the response of this transaction, and if so decrements [TableFaults.loseAnswers]. */
    private fun consumeLostAnswer(): Boolean {
        val shouldLose = faults.loseAnswers > 0
        if (shouldLose) faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
        return shouldLose
    }

    /** Responds with the result of [handleCall] unless a fault applies; a null result closes the connection. */
    private fun serve(ctx: Context, rateLimit: TokenBucket, handleCall: () -> Any?) {
        val outage = awaitFaultDelays()
        when {
            outage == "cut" -> ctx.abortConnection()
            outage == "refuse" -> refuse(ctx, HttpStatus.SERVICE_UNAVAILABLE, "the table service is unavailable")
            !rateLimit.tryAcquire() -> refuse(ctx, HttpStatus.TOO_MANY_REQUESTS, "the call rate limit is exceeded")
            else -> handleCall()?.let { ctx.json(it) } ?: ctx.abortConnection()
        }
    }

    /** Waits out the delay and the hang that the faults ask for, and returns the outage that applies afterwards. */
    private fun awaitFaultDelays(): String = lock.withLock {
        var remainingNanos = TimeUnit.MILLISECONDS.toNanos(faults.slowMillis)
        while (remainingNanos > 0) remainingNanos = faultsChanged.awaitNanos(remainingNanos)
        while (faults.outage == "hang") faultsChanged.await()
        faults.outage
    }

    private fun refuse(ctx: Context, status: HttpStatus, message: String) {
        ctx.status(status).json(mapOf("error" to message, "not_applied" to true))
    }

    private companion object {
        const val DEFAULT_WRITES_PER_SECOND = 400
        const val DEFAULT_READS_PER_SECOND = 2000
    }
}
