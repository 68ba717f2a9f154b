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
 * Runs the agent of one endpoint, through which all calls to the endpoint's engines and plain services go.
 *
 * @param createDependencies receives a provider of the agent's identity, whose address is valid after [start].
 */
public class AgentDaemon(
    private val settings: AgentSettings,
    createDependencies: (() -> ProcessIdentity) -> AgentDependencies,
) {
    /** Random id of this run of the agent; it changes with each start of the process. */
    public val incarnation: String = UUID.randomUUID().toString()

    private val dependencies = createDependencies(::identity)
    private val replicas =
        dependencies.engines.mapValues { (name, engine) -> Replica(name, engine, settings.limits.maxQueued) }
    private val writeBudget = WriteBudget(dependencies.clocks.timeSource)
    private val bookings = Bookings(incarnation, dependencies.table, dependencies.clocks.wallClockMillis, writeBudget)
    private val weightOrders =
        WeightOrders(settings.endpoint, incarnation, dependencies.table, dependencies.clocks.timeSource) {
            "${UUID.randomUUID()}"
        }
    private val weightReconciler =
        WeightReconciler(settings.endpoint, replicas, weightOrders, dependencies.configuration::current)
    private val generationHandler =
        GenerationHandler(incarnation, replicas, ::isRejectingWork, dependencies.clocks.wallClockMillis)
    private val serviceCallHandler = ServiceCallHandler(incarnation, dependencies.services, bookings, ::isRejectingWork)
    private val scheduler = Executors.newSingleThreadScheduledExecutor { daemonThread("agent-timer", it) }
    private val callExecutor = Executors.newFixedThreadPool(CALL_THREADS) { daemonThread("agent-calls", it) }
    private val server = buildServer()

    @Volatile
    private var isStopping = false

    @Volatile
    private var isDraining = false

    /** Identity that the agent sends to other processes; its address is valid after [start]. */
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

    /** Requests the status of each engine, then starts the gRPC server and the periodic tasks. */
    public fun start() {
        dependencies.configuration.onChange(::applyConfiguration)
        dependencies.configuration.current()?.let(::applyConfiguration)
        pollEngines()
        server.start()
        dependencies.peers?.start()
        weightOrders.start()
        scheduleEvery(ENGINE_POLL_INTERVAL, ::pollEngines)
        scheduleEvery(RECONCILE_INTERVAL) {
            bookings.retryPendingWrites()
            weightReconciler.reconcile()
        }
        Logger.info("event=agent_started endpoint={} address={}", settings.endpoint, identity.address)
    }

    /**
     * Tells the other processes, refuses new work as not run, waits for running calls up to the stop timeout of the
     * settings, and shuts down.
     *
     * The server stays open while it waits, so that entries receive refusals instead of connection errors. Further
     * calls have no effect.
     */
    public fun stop() {
        if (isStopping) return
        isStopping = true
        dependencies.peers?.announceStop()
        val idleLatch = CountDownLatch(1)
        scheduleEvery(IDLE_CHECK_INTERVAL) {
            if (generationHandler.activeCount + serviceCallHandler.activeCount == 0) idleLatch.countDown()
        }
        val hasFinished = idleLatch.await(settings.process.stopTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        server.shutdown().awaitTermination(SERVER_SHUTDOWN_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        server.shutdownNow()
        scheduler.shutdownNow()
        callExecutor.shutdown()
        dependencies.peers?.close()
        Logger.info("event=agent_stopped endpoint={} finished={}", settings.endpoint, hasFinished)
    }

    private fun isRejectingWork() = isStopping || isDraining

    private fun applyConfiguration(configuration: Configuration) {
        val endpoints = configuration.platform.endpoints
        isDraining = endpoints.find { it.name == settings.endpoint }?.state == EndpointState.DRAINING
        writeBudget.setAgentCount(endpoints.count { it.services.isNotEmpty() })
    }

    private fun pollEngines() {
        replicas.values.forEach { replica ->
            replica.engine.status().thenAccept { status -> replica.updateStatus(status.getOrNull()) }
            replica.cache.refresh()
        }
    }

    private fun buildHelloReply(): HelloReply = HelloReply.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setReceiver(identity.toMessage())
        .addAllReplicas(replicas.values.map { it.summary(!isRejectingWork()) })
        .setStopping(isStopping)
        .build()

    private fun buildServer(): Server {
        val host = settings.process.grpc.substringBeforeLast(":")
        val port = settings.process.grpc.substringAfterLast(":").toInt()
        val builder = NettyServerBuilder.forAddress(InetSocketAddress(host, port))
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .executor(callExecutor)
        val agentService =
            AgentGrpcService(generationHandler, serviceCallHandler, ::buildHelloReply, ::isStopping).definition()
        listOfNotNull(agentService, dependencies.peers?.service).forEach {
            builder.addService(ServerInterceptors.intercept(it, SharedSecretServer(settings.process.secret)))
        }
        return builder.build()
    }

    private fun scheduleEvery(interval: Duration, task: () -> Unit) {
        val millis = interval.inWholeMilliseconds
        val exceptionLoggingTask = Runnable {
            // The executor cancels a periodic task after its first exception.
            runCatching(task).onFailure { Logger.error(it, "event=agent_task_failed") }
        }
        scheduler.scheduleWithFixedDelay(exceptionLoggingTask, millis, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        // Calls are relayed by callbacks and do not block a thread, so a few threads are enough.
        const val CALL_THREADS = 4
        val ENGINE_POLL_INTERVAL = 250.milliseconds
        val RECONCILE_INTERVAL = 1_000.milliseconds
        val IDLE_CHECK_INTERVAL = 20.milliseconds
        val SERVER_SHUTDOWN_TIMEOUT = 1_000.milliseconds
    }
}

private fun daemonThread(name: String, task: Runnable) = Thread(task, name).apply { isDaemon = true }
