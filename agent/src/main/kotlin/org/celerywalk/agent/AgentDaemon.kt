package org.celerywalk.agent

import io.grpc.Server
import io.grpc.ServerInterceptors
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import org.celerywalk.booking.Bookings
import org.celerywalk.booking.WriteBudget
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.EndpointState
import org.celerywalk.endpoint.WeightOrders
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.protocol.HelloReply
import org.celerywalk.rpc.MAX_MESSAGE_BYTES
import org.celerywalk.rpc.PROTOCOL_VERSION
import org.celerywalk.rpc.SharedSecretServer
import org.celerywalk.rpc.toMessage
import org.celerywalk.settings.AgentSettings
import org.tinylog.kotlin.Logger
import java.net.InetSocketAddress
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the agent beside one endpoint: the only way to its engines and plain services.
 *
 * @param makeParts gets the agent's identity, whose address is known once the agent has started.
 */
public class AgentDaemon(private val settings: AgentSettings, makeParts: (() -> ProcessIdentity) -> AgentParts) {
    /** Random name of this lifetime of the agent. */
    public val incarnation: String = UUID.randomUUID().toString()

    private val parts = makeParts(::identity)
    private val replicas =
        parts.engines.mapValues { (name, engine) -> Replica(name, engine, settings.limits.maxQueued) }
    private val budget = WriteBudget(parts.clocks.monotonic)
    private val bookings = Bookings(incarnation, parts.table, parts.clocks.wall, budget)
    private val orders =
        WeightOrders(settings.endpoint, incarnation, parts.table, parts.clocks.monotonic) { "${UUID.randomUUID()}" }
    private val weights = WeightDuty(settings.endpoint, replicas, orders, parts.configuration::current)
    private val generations = Generations(incarnation, replicas, ::isLeaving, parts.clocks.wall)
    private val serviceCalls = ServiceCalls(incarnation, parts.services, bookings, ::isLeaving)
    private val timer = Executors.newSingleThreadScheduledExecutor { daemonThread("agent-timer", it) }
    private val calls = Executors.newFixedThreadPool(CALL_THREADS) { daemonThread("agent-calls", it) }
    private val server = buildServer()

    @Volatile
    private var stopping = false

    @Volatile
    private var draining = false

    /** Identity under which other processes know this agent; the address is valid after [start]. */
    public val identity: ProcessIdentity
        get() {
            val host = settings.process.advertise ?: settings.process.grpc.substringBeforeLast(":")
            val process = settings.process
            val address = "$host:${server.port}"
            return ProcessIdentity(
                process.instance,
                incarnation,
                Role.AGENT,
                process.region,
                process.dataCentre,
                address,
            )
        }

    /** Reads the engines' status, then takes calls. */
    public fun start() {
        parts.configuration.onChange(::configured)
        parts.configuration.current()?.let(::configured)
        readEngines()
        server.start()
        parts.peers?.start()
        orders.start()
        every(STATUS_INTERVAL, ::readEngines)
        every(PENDING_INTERVAL) {
            bookings.retryPendingWrites()
            weights.reconcile()
        }
        Logger.info("event=agent_started endpoint={} address={}", settings.endpoint, identity.address)
    }

    /**
     * Refuses new work as not run, waits up to the settings' stop timeout for what runs, and ends.
     *
     * The server stays open until then, so that entries get refusals rather than broken connections.
     */
    public fun stop() {
        stopping = true
        val idle = CountDownLatch(1)
        every(IDLE_INTERVAL) { if (generations.runningCount + serviceCalls.runningCount == 0) idle.countDown() }
        val finished = idle.await(settings.process.stopTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        server.shutdown().awaitTermination(LAST_REPLIES.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        server.shutdownNow()
        timer.shutdownNow()
        calls.shutdown()
        parts.peers?.close()
        Logger.info("event=agent_stopped endpoint={} finished={}", settings.endpoint, finished)
    }

    private fun isLeaving() = stopping || draining

    private fun configured(configuration: Configuration) {
        val endpoints = configuration.platform.endpoints
        draining = endpoints.find { it.name == settings.endpoint }?.state == EndpointState.DRAINING
        budget.setAgentCount(endpoints.count { it.services.isNotEmpty() })
    }

    private fun readEngines() {
        replicas.values.forEach { replica ->
            replica.engine.status().thenAccept { status -> replica.statusRead(status.getOrNull()) }
            replica.cache.read()
        }
    }

    private fun hello(): HelloReply = HelloReply.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setReceiver(identity.toMessage())
        .addAllReplicas(replicas.values.map { it.summary(!isLeaving()) })
        .build()

    private fun buildServer(): Server {
        val host = settings.process.grpc.substringBeforeLast(":")
        val port = settings.process.grpc.substringAfterLast(":").toInt()
        val builder = NettyServerBuilder.forAddress(InetSocketAddress(host, port))
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .executor(calls)
        val own = AgentGrpc(generations, serviceCalls, ::hello).definition()
        listOfNotNull(own, parts.peers?.service).forEach {
            builder.addService(ServerInterceptors.intercept(it, SharedSecretServer(settings.process.secret)))
        }
        return builder.build()
    }

    private fun every(interval: Duration, task: () -> Unit) {
        val millis = interval.inWholeMilliseconds
        val guarded = Runnable {
            // The executor would never run a task again that failed once.
            runCatching(task).onFailure { Logger.error(it, "event=agent_task_failed") }
        }
        timer.scheduleWithFixedDelay(guarded, millis, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        // Calls are relayed by callbacks, so a few threads are enough.
        const val CALL_THREADS = 4
        val STATUS_INTERVAL = 250.milliseconds
        val PENDING_INTERVAL = 1_000.milliseconds
        val IDLE_INTERVAL = 20.milliseconds
        val LAST_REPLIES = 1_000.milliseconds
    }
}

private fun daemonThread(name: String, task: Runnable) = Thread(task, name).apply { isDaemon = true }
