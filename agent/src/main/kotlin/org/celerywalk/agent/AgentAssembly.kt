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

/** Creates an agent with HTTP clients for the addresses in these settings, without starting it. */
public fun AgentSettings.toDaemon(): AgentDaemon =
    AgentDaemon(this) { identity -> createHttpDependencies(this, identity) }

private fun createHttpDependencies(settings: AgentSettings, identity: () -> ProcessIdentity): AgentDependencies {
    val platform = settings.platform
    val limits = HttpLimits(CONNECT_TIMEOUT, platform.timeout, MAX_CONCURRENT_CALLS, platform.maxWaiting)
    val table = HttpTable(platform.table, limits)
    val breaker = CircuitBreaker(TimeSource.Monotonic, BREAKER_FAILURE_THRESHOLD, BREAKER_OPEN_DURATION)
    val objectStore = HttpObjectStore(platform.objectStore, limits)
    val instances = HttpInstanceList(platform.instanceList, limits)
    val streamLimits = EngineStreamLimits(STREAM_THREADS, settings.limits.engineTimeout)
    val engines = settings.engines.associate { it.replica to HttpEngine(it.url, limits, streamLimits) }
    val serviceLimits =
        limits.copy(callTimeout = settings.limits.serviceTimeout, maxConcurrentCalls = MAX_CONCURRENT_SERVICE_CALLS)
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
    // Agents run no admission control and have no rate tokens to lend; a reply of 0 tokens refuses the loan.
    val refusingLender = Lender {
        CompletableFuture.completedFuture(BorrowReply.newBuilder().setLoanId(it.loanId).build())
    }
    return AgentDependencies(
        table = GuardedTable(table, Bulkhead(platform.maxWaiting, breaker)),
        engines = engines,
        services = services.mapValues { (_, client) -> plainService(client) },
        configuration = sync,
        peers = object : PeerSyncService {
            override val service =
                PeerService(sync, KeyWithdrawalService(sync, operators, table), refusingLender).definition()

            override fun start() = sync.start()

            override fun announceStop() = sync.synchroniser.announceStop()

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

// Applies to each dependency; each call in progress holds a thread.
private const val MAX_CONCURRENT_CALLS = 4
private const val STREAM_THREADS = 2

// Higher than MAX_CONCURRENT_CALLS because a call of a plain service may take seconds.
private const val MAX_CONCURRENT_SERVICE_CALLS = 32
private const val BREAKER_FAILURE_THRESHOLD = 5
private val BREAKER_OPEN_DURATION = 1.seconds
