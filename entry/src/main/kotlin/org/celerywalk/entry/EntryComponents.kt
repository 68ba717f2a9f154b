package org.celerywalk.entry

import org.celerywalk.booking.AttemptBarWriter
import org.celerywalk.entry.agents.AgentNotices
import org.celerywalk.entry.agents.EndpointRegistry
import org.celerywalk.entry.agents.HelloPoller
import org.celerywalk.entry.agents.toMessage
import org.celerywalk.entry.chat.ChatRoute
import org.celerywalk.entry.chat.RelayContext
import org.celerywalk.entry.chat.RelayManager
import org.celerywalk.entry.chat.ReplicaSelector
import org.celerywalk.entry.http.AccessControl
import org.celerywalk.entry.http.BodyReader
import org.celerywalk.entry.http.HttpServer
import org.celerywalk.entry.http.ModelsRoute
import org.celerywalk.entry.http.RouteRunner
import org.celerywalk.entry.http.Routes
import org.celerywalk.entry.http.StatusPages
import org.celerywalk.entry.service.AgentServiceClient
import org.celerywalk.entry.service.LostBookingResolver
import org.celerywalk.entry.service.ServiceRoute
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.KeyHasher
import org.celerywalk.key.OpenStreams
import org.celerywalk.key.RequestAuthenticator
import org.celerywalk.limit.MemoryBudget
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.rpc.openChannel
import org.celerywalk.settings.EntrySettings
import org.tinylog.kotlin.Logger
import java.util.concurrent.Executor

/** Creates and connects the components of one entry process. */
internal class EntryComponents(
    settings: EntrySettings,
    private val dependencies: EntryDependencies,
    identity: ProcessIdentity,
    private val lifecycle: Lifecycle,
    callExecutor: Executor,
) : StatusPages {
    private val configuration = dependencies.configuration::current
    private val metrics = EntryMetrics()
    private val endpoints = EndpointRegistry(
        AgentNotices(dependencies.endpointNotices, dependencies.timeSource),
    ) { address -> openChannel(address, settings.process.secret, callExecutor) }
    private val helloPoller = HelloPoller(endpoints, identity, dependencies.timeSource)
    private val authenticator = RequestAuthenticator(
        KeyHasher(settings.process.pepper),
        configuration,
        dependencies.isWithdrawn,
        dependencies.areKeysConfirmed,
    )
    private val openStreams = OpenStreams(authenticator::refusalReason)
    private val replicaSelector = ReplicaSelector(endpoints, dependencies.endpointChooser)
    private val quarantine = PromptPartQuarantine(dependencies.timeSource)
    private val relayManager = RelayManager(
        RelayContext(
            replicaSelector,
            quarantine,
            metrics,
            settings.limits,
            dependencies.timeSource,
            dependencies.wallClock,
        ),
        openStreams,
    )
    private val accessControl = AccessControl(authenticator, lifecycle::isAcceptingRequests)
    private val bodyReader = BodyReader(settings.limits.maxRequestBytes, MemoryBudget(MAX_BODY_MEMORY_BYTES))
    private val routeRunner = RouteRunner(bodyReader, lifecycle, metrics::recordRefusal)
    private val lostBookingResolver = LostBookingResolver(AttemptBarWriter(dependencies.table, dependencies.wallClock))
    private val serviceClient =
        AgentServiceClient(endpoints, lostBookingResolver, dependencies.timeSource, dependencies.wallClock)

    /** HTTP server for callers. */
    val httpServer = HttpServer(
        ListenAddress.parse(settings.process.http),
        Routes(
            chat = ChatRoute(accessControl, configuration, dependencies.admission, relayManager),
            models = ModelsRoute(accessControl, configuration),
            services = ServiceRoute(accessControl, configuration, serviceClient),
        ),
        this,
        routeRunner,
    ) { requestId, problem -> metrics.recordRefusal(requestId, null, problem) }

    /** Number of requests whose response is not complete. */
    val openRequestCount: Int get() = routeRunner.openRequestCount

    init {
        dependencies.configuration.onChange(endpoints::applyConfiguration)
        configuration()?.let(endpoints::applyConfiguration)
        metrics.registerGauge("celerywalk.open.requests") { routeRunner.openRequestCount }
        metrics.registerGauge("celerywalk.replicas") { endpoints.activeReplicas().size }
        metrics.registerGauge("celerywalk.open.streams") { openStreams.size }
        metrics.registerGauge("celerywalk.quarantined.parts") { quarantine.quarantinedParts.size }
        metrics.registerGauge("celerywalk.rate.share", dependencies.rateShare)
    }

    /** Returns the replica summaries that the agent of [endpoint] last reported. */
    fun summaries(endpoint: String): List<ReplicaSummary> =
        endpoints.client(endpoint)?.summaries?.values.orEmpty().map { it.toMessage() }

    override fun isReady(): Boolean = lifecycle.isServing && configuration() != null && dependencies.areKeysConfirmed()

    override fun scrapeMetrics(): String = metrics.scrape()

    /** Cuts streams with invalid keys, checks the time limits of relays and sends `Hello`; called every 100 ms. */
    fun tick() {
        // An exception would cancel the timer task, on which the cutting of streams depends.
        runCatching {
            val cutCount = openStreams.revalidate()
            if (cutCount > 0) {
                Logger.info("event=streams_cut count={}", cutCount)
                metrics.incrementCounter("celerywalk.streams.cut", cutCount)
            }
            relayManager.tick()
            helloPoller.tick()
        }.onFailure { Logger.error(it, "event=tick_failed") }
    }

    /** Answers all open requests, as far as their responses have not begun, because the process stops. */
    fun stopOpenRequests() = routeRunner.stopOpenRequests()

    fun close() {
        httpServer.stop()
        endpoints.close()
        dependencies.onStop()
    }

    private companion object {
        // Leaves room in 128 MB for the process itself and the copies of prompts in messages to agents.
        const val MAX_BODY_MEMORY_BYTES = 24L * 1024 * 1024
    }
}
