package org.celerywalk.entry

import io.javalin.util.JavalinBindException
import org.celerywalk.entry.http.newRandomId
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.settings.EntrySettings
import org.tinylog.kotlin.Logger
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs an entry, the process that accepts HTTP requests of callers and relays them to agents.
 *
 * ```
 * val daemon = EntryDaemon(settings) { identity -> dependenciesFor(settings, identity) }
 * daemon.start()
 * Runtime.getRuntime().addShutdownHook(Thread(daemon::stop))
 * ```
 *
 * @param createDependencies creates the dependencies of the process once its gRPC address is known.
 */
public class EntryDaemon(
    private val settings: EntrySettings,
    private val createDependencies: (ProcessIdentity) -> EntryDependencies,
) {
    private val process = settings.process
    private val callExecutor: ExecutorService = Executors.newFixedThreadPool(CALL_THREADS, daemonThreadFactory("calls"))
    private val timer = Executors.newSingleThreadScheduledExecutor(daemonThreadFactory("timer"))
    private val grpcServer = GrpcServer(process, callExecutor)
    private val lifecycle = Lifecycle()
    private var components: EntryComponents? = null

    /** HTTP port for callers; valid after [start]. */
    public val httpPort: Int get() = checkNotNull(components).httpServer.actualPort

    /** gRPC port for other processes and operators; valid after [start]. */
    public val grpcPort: Int get() = grpcServer.port

    /**
     * Starts the servers and serves requests.
     *
     * @throws StartException if a port cannot be bound.
     */
    public fun start() {
        try {
            grpcServer.start()
            startComponents()
        } catch (failure: JavalinBindException) {
            closeResources()
            throw StartException("cannot listen on ${process.http} for HTTP", failure)
        } catch (failure: StartException) {
            closeResources()
            throw failure
        }
        Logger.info("event=started instance={} http_port={} grpc_port={}", process.instance, httpPort, grpcPort)
    }

    /**
     * Drains and stops the process; blocks until it has stopped.
     *
     * The process first reports not ready for the leave delay and still serves new requests. Then it refuses new
     * requests and waits for open ones until the stop timeout. Those that are still open then are answered with the
     * problem `stopping`.
     */
    public fun stop() {
        val runningComponents = components ?: return
        lifecycle.startDraining()
        Logger.info("event=leaving instance={} open_requests={}", process.instance, runningComponents.openRequestCount)
        TimeUnit.MILLISECONDS.sleep(process.leaveDelay.inWholeMilliseconds)
        lifecycle.startRefusing()
        runningComponents.awaitEndOfRequests(process.stopTimeout)
        val unansweredCount = runningComponents.openRequestCount
        runningComponents.stopOpenRequests()
        runningComponents.awaitEndOfRequests(LAST_WRITE_TIMEOUT)
        Logger.info("event=stopped instance={} open_requests={}", process.instance, unansweredCount)
        closeResources()
    }

    private fun EntryComponents.awaitEndOfRequests(timeout: Duration) {
        var elapsed = 0.milliseconds
        while (openRequestCount > 0 && elapsed < timeout) {
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL.inWholeMilliseconds)
            elapsed += STOP_POLL_INTERVAL
        }
    }

    private fun startComponents() {
        val identity = ProcessIdentity(
            instance = process.instance,
            incarnation = newRandomId(),
            role = Role.ENTRY,
            region = process.region,
            dataCentre = process.dataCentre,
            address = "${process.advertise ?: ListenAddress.parse(process.grpc).host}:${grpcServer.port}",
        )
        val dependencies = createDependencies(identity)
        val newComponents =
            EntryComponents(settings, dependencies, identity, lifecycle, callExecutor).also { components = it }
        newComponents.httpServer.start()
        dependencies.buildServices(newComponents::summaries).forEach(grpcServer::addService)
        dependencies.onStart()
        timer.scheduleWithFixedDelay(newComponents::tick, 0, TICK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        lifecycle.startServing()
    }

    private fun closeResources() {
        timer.shutdownNow()
        components?.close()
        grpcServer.stop()
        callExecutor.shutdown()
    }

    private companion object {
        const val CALL_THREADS = 4
        val TICK_INTERVAL = 100.milliseconds
        val STOP_POLL_INTERVAL = 50.milliseconds

        // Time in which callers can take the last bytes of responses that a stop ends.
        val LAST_WRITE_TIMEOUT = 500.milliseconds
    }
}
