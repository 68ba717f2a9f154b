package org.celerywalk.standins.service

import io.javalin.http.Context
import io.javalin.http.HttpStatus
import org.celerywalk.standins.RecordedRequest
import org.celerywalk.standins.RequestRecorder
import org.celerywalk.standins.StandIn
import org.celerywalk.standins.abortConnection
import org.celerywalk.standins.mergeJsonFields
import org.celerywalk.standins.startServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Faults that the plain service stand-in injects.
 *
 * @property outage `none`, `refuse` (503 without executing the call), `hang` (executes the call, then sends no response
 *   while it is set) or `cut` (executes the call, then closes the connection).
 * @property slowMillis delay in milliseconds between the execution and the response.
 */
public data class ServiceFaults(public val outage: String = "none", public val slowMillis: Long = 0)

/** Number of executions of calls with the same idempotency key, method, path and body. */
public data class ExecutionCount(
    public val idempotencyKey: String,
    public val method: String,
    public val path: String,
    public val body: String,
    public val count: Int,
)

/**
 * Stand-in for a plain service at an endpoint.
 *
 * It does not deduplicate by idempotency key: it executes every call that it receives and counts the executions, so
 * that a test sees each repeated call. [name] is the prefix of its confirmation numbers.
 */
public class PlainServiceStandIn(port: Int = 0, private val name: String = "service") : StandIn {
    private val lock = ReentrantLock()
    private val faultsChanged = lock.newCondition()
    private val executionCounts = ConcurrentHashMap<ExecutionCount, AtomicInteger>()
    private val lastConfirmation = AtomicInteger()
    private val requestRecorder = RequestRecorder()

    /** Faults that apply to calls from now on, also to calls that are waiting because of earlier faults. */
    public var faults: ServiceFaults = ServiceFaults()
        get() = lock.withLock { field }
        set(value) = lock.withLock {
            field = value
            faultsChanged.signalAll()
        }

    private val server = startServer(port) { config ->
        config.routes.get("/test/executions") { it.json(mapOf("executions" to executions())) }
        config.routes.get("/test/requests") { it.json(mapOf("requests" to requests())) }
        config.routes.post("/test/faults") { ctx ->
            faults = mergeJsonFields(faults, ctx.body())
            ctx.json(faults)
        }
        config.routes.get("/<path>", ::execute)
        config.routes.post("/<path>", ::execute)
        config.routes.put("/<path>", ::execute)
        config.routes.delete("/<path>", ::execute)
    }

    override val port: Int = server.port()

    override fun close() {
        faults = ServiceFaults(outage = "cut")
        server.stop()
    }

    /** Returns the executions so far, in no particular order. */
    public fun executions(): List<ExecutionCount> =
        executionCounts.map { (call, count) -> call.copy(count = count.get()) }

    /** Returns the newest requests, oldest first. */
    public fun requests(): List<RecordedRequest> = requestRecorder.list()

    private fun execute(ctx: Context) {
        requestRecorder.record(ctx)
        if (faults.outage == "refuse") {
            ctx.status(HttpStatus.SERVICE_UNAVAILABLE).json(mapOf("error" to "the service is unavailable"))
            return
        }
        val idempotencyKey = ctx.header("Idempotency-Key").orEmpty()
        val call = ExecutionCount(idempotencyKey, ctx.method().name, ctx.path(), ctx.body(), 0)
        val count = executionCounts.computeIfAbsent(call) { AtomicInteger() }.incrementAndGet()
        val confirmation = "$name-${lastConfirmation.incrementAndGet()}"
        if (awaitFaultDelays() == "cut") {
            ctx.abortConnection()
        } else {
            ctx.status(HttpStatus.CREATED).json(mapOf("confirmation" to confirmation, "executions" to count))
        }
    }

    /** Waits out the delay and the hang that the faults ask for, and returns the outage that applies afterwards. */
    private fun awaitFaultDelays(): String = lock.withLock {
        var remainingNanos = TimeUnit.MILLISECONDS.toNanos(faults.slowMillis)
        while (remainingNanos > 0) remainingNanos = faultsChanged.awaitNanos(remainingNanos)
        while (faults.outage == "hang") faultsChanged.await()
        faults.outage
    }
}
