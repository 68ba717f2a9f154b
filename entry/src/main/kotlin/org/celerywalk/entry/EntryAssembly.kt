package org.celerywalk.entry

import org.celerywalk.booking.AttemptBarWriter
import org.celerywalk.entry.agents.EndpointBook
import org.celerywalk.entry.agents.HelloDuty
import org.celerywalk.entry.agents.toMessage
import org.celerywalk.entry.chat.ChatRoute
import org.celerywalk.entry.chat.RelaySurroundings
import org.celerywalk.entry.chat.Relays
import org.celerywalk.entry.chat.ReplicaChoice
import org.celerywalk.entry.http.BodyBudget
import org.celerywalk.entry.http.BodyReader
import org.celerywalk.entry.http.HttpServer
import org.celerywalk.entry.http.ModelsRoute
import org.celerywalk.entry.http.Pages
import org.celerywalk.entry.http.RequestGate
import org.celerywalk.entry.http.RouteRunner
import org.celerywalk.entry.http.Routes
import org.celerywalk.entry.service.CallBarrier
import org.celerywalk.entry.service.ServiceCalls
import org.celerywalk.entry.service.ServiceRoute
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.KeyHasher
import org.celerywalk.key.OpenStreams
import org.celerywalk.key.RequestAuthenticator
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.rpc.openChannel
import org.celerywalk.settings.EntrySettings
import org.tinylog.kotlin.Logger
import java.util.concurrent.Executor

/** Connects the objects of one entry process. */
internal class EntryAssembly(
    settings: EntrySettings,
    private val parts: EntryParts,
    identity: ProcessIdentity,
    private val lifecycle: Lifecycle,
    calls: Executor,
) : Pages {
    private val configuration = parts.configuration::current
    private val metrics = EntryMetrics()
    private val book = EndpointBook { address -> openChannel(address, settings.process.secret, calls) }
    private val hello = HelloDuty(book, identity, parts.time)
    private val keys =
        RequestAuthenticator(KeyHasher(settings.process.pepper), configuration, parts.withdrawn, parts.keysConfirmed)
    private val streams = OpenStreams(keys::refusalReason)
    private val choice = ReplicaChoice(book, parts.chooser)
    private val relays =
        Relays(RelaySurroundings(choice, metrics, settings.limits, parts.time, parts.wallClock), streams)
    private val gate = RequestGate(keys, lifecycle::acceptsRequests)
    private val bodies = BodyReader(settings.limits.maxRequestBytes, BodyBudget(ALL_BODIES_BYTES))
    private val runner = RouteRunner(bodies, metrics::refused)
    private val barrier = CallBarrier(AttemptBarWriter(parts.table, parts.wallClock))
    private val services = ServiceCalls(book, barrier, parts.time, parts.wallClock)

    /** Server for callers. */
    val http = HttpServer(
        Address.parse(settings.process.http),
        Routes(
            chat = ChatRoute(gate, configuration, parts.admission, relays),
            models = ModelsRoute(gate, configuration),
            services = ServiceRoute(gate, configuration, services),
        ),
        this,
        runner,
    ) { requestId, problem -> metrics.refused(requestId, null, problem) }

    /** Number of requests whose answer is not complete. */
    val openRequests: Int get() = runner.open

    init {
        parts.configuration.onChange(book::follow)
        configuration()?.let(book::follow)
        metrics.gauge("celerywalk.open.requests") { runner.open }
        metrics.gauge("celerywalk.replicas") { book.replicas().size }
        metrics.gauge("celerywalk.open.streams") { streams.size }
    }

    /** Returns what the agent of [endpoint] last told about its replicas. */
    fun summaries(endpoint: String): List<ReplicaSummary> =
        book.link(endpoint)?.summaries?.values.orEmpty().map { it.toMessage() }

    override fun ready(): Boolean = lifecycle.wantsRequests && configuration() != null && parts.keysConfirmed()

    override fun metrics(): String = metrics.scrape()

    /** Does what time requires; called every 100 ms. */
    fun tick() {
        // A failure must not end the timer, because the cutting of streams depends on it.
        runCatching {
            val cut = streams.revalidate()
            if (cut > 0) {
                Logger.info("event=streams_cut count={}", cut)
                metrics.count("celerywalk.streams.cut", cut)
            }
            relays.tick()
            hello.tick()
        }.onFailure { Logger.error(it, "event=tick_failed") }
    }

    fun close() {
        http.stop()
        book.close()
        parts.stop()
    }

    private companion object {
        // Leaves room in 128 MB for the process itself and the copies of prompts in messages to agents.
        const val ALL_BODIES_BYTES = 24L * 1024 * 1024
    }
}
