package org.celerywalk.agent

import org.celerywalk.booking.BookingAnswer
import org.celerywalk.booking.CallResult
import org.celerywalk.engine.EngineStreamLimits
import org.celerywalk.engine.HttpEngine
import org.celerywalk.error.Execution
import org.celerywalk.http.HttpInstanceList
import org.celerywalk.http.HttpLimits
import org.celerywalk.http.HttpObjectStore
import org.celerywalk.http.HttpTable
import org.celerywalk.http.PlainServiceClient
import org.celerywalk.http.PlainServiceRequest
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.KeyHasher
import org.celerywalk.limit.Bulkhead
import org.celerywalk.limit.CircuitBreaker
import org.celerywalk.limit.GuardedTable
import org.celerywalk.protocol.BorrowReply
import org.celerywalk.settings.AgentSettings
import org.celerywalk.sync.ConfigurationSync
import org.celerywalk.sync.KeyWithdrawalService
import org.celerywalk.sync.Lender
import org.celerywalk.sync.OperatorAuthenticator
import org.celerywalk.sync.PeerService
import org.celerywalk.sync.SyncSettings
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Makes an agent with clients for the addresses in these settings. */
public fun AgentSettings.toDaemon(): AgentDaemon = AgentDaemon(this) { identity -> httpParts(this, identity) }

private fun httpParts(settings: AgentSettings, identity: () -> ProcessIdentity): AgentParts {
    val platform = settings.platform
    val limits = HttpLimits(CONNECT_TIMEOUT, platform.timeout, CONCURRENT_CALLS, platform.maxWaiting)
    val table = HttpTable(platform.table, limits)
    val breaker = CircuitBreaker(TimeSource.Monotonic, FAILURES_TO_OPEN, OPEN_FOR)
    val objectStore = HttpObjectStore(platform.objectStore, limits)
    val instances = HttpInstanceList(platform.instanceList, limits)
    val streamLimits = EngineStreamLimits(STREAM_THREADS, settings.limits.engineTimeout)
    val engines = settings.engines.associate { it.replica to HttpEngine(it.url, limits, streamLimits) }
    val serviceLimits =
        limits.copy(callTimeout = settings.limits.serviceTimeout, maxConcurrentCalls = SERVICE_CALLS)
    val services = settings.services.associate { it.service to PlainServiceClient(it.url, serviceLimits) }
    val process = settings.process
    val sync = ConfigurationSync(
        SyncSettings(process.secret, process.peers, process.keyMaxAge),
        identity,
        table,
        objectStore,
        instances,
    )
    val operators = OperatorAuthenticator(KeyHasher(process.pepper)::hashHex, bootstrapToken = null)
    // Agents admit nothing, so they have no tokens to lend.
    val noLoans = Lender { CompletableFuture.completedFuture(BorrowReply.newBuilder().setLoanId(it.loanId).build()) }
    return AgentParts(
        table = GuardedTable(table, Bulkhead(platform.maxWaiting, breaker)),
        engines = engines,
        services = services.mapValues { (_, client) -> plainService(client) },
        configuration = sync,
        peers = object : PeerSide {
            override val service = PeerService(sync, KeyWithdrawalService(sync, operators, table), noLoans).definition()

            override fun start() = sync.start()

            override fun close() {
                val clients = listOf(sync, table, objectStore, instances) + engines.values + services.values
                clients.forEach { it.close() }
            }
        },
    )
}

private fun plainService(client: PlainServiceClient) = PlainService { request ->
    val headers = request.headersList.map { it.name to it.value }
    val call = PlainServiceRequest(request.method, request.path, headers, request.body.toByteArray())
    client.call(call).thenApply { result ->
        result.fold(
            { if (it.execution == Execution.NOT_RUN) CallResult.NotSent(it.message) else CallResult.Lost(it.message) },
            { CallResult.Answered(BookingAnswer(it.status, it.headers, it.body)) },
        )
    }
}

private val CONNECT_TIMEOUT: Duration = 500.milliseconds

// Calls to one dependency that run at the same time; each holds a thread.
private const val CONCURRENT_CALLS = 4
private const val STREAM_THREADS = 2

// Calls of plain services may take seconds each.
private const val SERVICE_CALLS = 32
private const val FAILURES_TO_OPEN = 5
private val OPEN_FOR = 1.seconds
