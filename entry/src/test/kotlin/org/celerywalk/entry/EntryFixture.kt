package org.celerywalk.entry

import arrow.core.Either
import arrow.core.right
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.celerywalk.account.Admission
import org.celerywalk.account.AdmissionError
import org.celerywalk.account.Reservation
import org.celerywalk.configuration.ClientAccountEntry
import org.celerywalk.configuration.CommercialSection
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.EndpointEntry
import org.celerywalk.configuration.KeyEntry
import org.celerywalk.configuration.ModelEntry
import org.celerywalk.configuration.PlatformSection
import org.celerywalk.configuration.ReplicaEntry
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.configuration.ServiceEntry
import org.celerywalk.key.KeyHasher
import org.celerywalk.routing.PrefixEndpointChooser
import org.celerywalk.settings.EntryLimits
import org.celerywalk.settings.EntrySettings
import org.celerywalk.settings.PlatformSettings
import org.celerywalk.settings.ProcessSettings
import org.celerywalk.sync.ConfigurationSource
import org.celerywalk.table.FakeTable
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Runs an entry in front of fake agents. */
class EntryFixture(
    vararg val agents: FakeAgent,
    httpPort: Int = 0,
    limits: EntryLimits = EntryLimits(),
    stopTimeout: Duration = 5.seconds,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : AutoCloseable {
    val table = FakeTable()

    /** Used tokens of the last settled reservation, -1 before the first. */
    val settledTokens = AtomicLong(-1)

    @Volatile
    var areKeysConfirmed = true

    /** Error of the checks whether keys are confirmed, or null. */
    @Volatile
    var confirmationError: Throwable? = null

    /** Number of the next checks for a withdrawn key that fail with an error. */
    val failedWithdrawalChecks = AtomicInteger()

    @Volatile
    var withdrawnKeyIds: Set<String> = emptySet()

    @Volatile
    var admissionError: AdmissionError? = null
    val daemon = EntryDaemon(
        EntrySettings(
            ProcessSettings(
                "entry-1", "kyushu", "fukuoka-a", "127.0.0.1:0", "127.0.0.1:$httpPort", FakeAgent.SECRET, PEPPER,
                stopTimeout = stopTimeout, leaveDelay = 1.milliseconds,
            ),
            PlatformSettings("", "", ""),
            limits = limits,
        ),
    ) {
        EntryDependencies(
            FixedConfiguration(configuration()),
            table,
            {
                if (failedWithdrawalChecks.getAndDecrement() > 0) throw OutOfMemoryError("simulated")
                it in withdrawnKeyIds
            },
            { confirmationError?.let { throw it } ?: areKeysConfirmed },
            admission,
            endpointChooser,
            timeSource = timeSource,
        )
    }
    private val client = OkHttpClient()
    private val endpointChooser = PrefixEndpointChooser()
    private val admission = object : Admission {
        override fun reserve(
            clientAccount: String,
            tokens: Long,
        ): CompletableFuture<Either<AdmissionError, Reservation>> {
            val reservation = object : Reservation {
                override fun settle(usedTokens: Long) = settledTokens.set(usedTokens)
            }
            return CompletableFuture.completedFuture(admissionError?.let { Either.Left(it) } ?: reservation.right())
        }
    }

    fun start() = apply {
        daemon.start()
        agents.forEach { check(it.helloReceived.await(5, TimeUnit.SECONDS)) }
        await { hasAllReplicas() }
    }

    fun chat(stream: Boolean, key: String = KEY, model: String = FakeAgent.MODEL, text: String = "hello"): Response =
        post("/v1/chat/completions", chatBody(stream, model, text), "Authorization" to "Bearer $key")

    fun post(path: String, json: String, vararg headers: Pair<String, String>): Response {
        val request = Request.Builder().url("http://127.0.0.1:${daemon.httpPort}$path")
            .post(json.toRequestBody("application/json".toMediaType()))
        headers.forEach { (name, value) -> request.addHeader(name, value) }
        return client.newCall(request.build()).execute()
    }

    fun get(path: String, vararg headers: Pair<String, String>): Response {
        val request = Request.Builder().url("http://127.0.0.1:${daemon.httpPort}$path")
        headers.forEach { (name, value) -> request.addHeader(name, value) }
        return client.newCall(request.build()).execute()
    }

    fun openSocket() = Socket("127.0.0.1", daemon.httpPort).apply { soTimeout = 10_000 }

    /** Sends raw bytes and returns all response bytes until the server closes the connection. */
    fun sendRaw(text: String): String = openSocket().use {
        it.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        it.getOutputStream().flush()
        it.getInputStream().readAllBytes().toString(Charsets.UTF_8)
    }

    fun rawChatRequest(text: String): String = chatBody(stream = true, text = text).let {
        "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nConnection: close\r\nx-api-key: $KEY\r\n" +
            "Content-Length: ${it.length}\r\n\r\n$it"
    }

    /** Waits until the entry has received the heads of [count] requests that have no complete response. */
    fun awaitOpenRequests(count: Int) = await {
        get("/metrics").use { response ->
            response.body.string().lines().any { it.startsWith("celerywalk_open_requests $count.0") }
        }
    }

    fun await(condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + 5_000_000_000
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "the condition did not hold within 5 s" }
            Thread.onSpinWait()
        }
    }

    override fun close() {
        daemon.stop()
        agents.forEach(FakeAgent::close)
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    // The gauge counts the replicas whose summaries came with the replies to `Hello`.
    private fun hasAllReplicas(): Boolean = get("/metrics").use { response ->
        response.body.string().lines().any { it.startsWith("celerywalk_replicas ${agents.size}.0") }
    }

    private fun configuration() = Configuration(
        version = 1,
        sectionVersions = emptyMap(),
        commercial = CommercialSection(listOf(ClientAccountEntry("kyushu", 1000, 1000))),
        security = SecuritySection(listOf(KeyEntry("k1", "kyushu", KeyHasher(PEPPER).hashHex(KEY)))),
        platform = PlatformSection(
            models = listOf(ModelEntry(FakeAgent.MODEL, FakeAgent.WEIGHTS, 4000)),
            services = listOf(
                ServiceEntry("stock", "/services/stock", repeatable = true),
                ServiceEntry("swaps", "/services/swaps"),
                ServiceEntry("hours", "/services/hours", repeatable = true, open = true),
            ),
            endpoints = agents.mapIndexed { index, agent ->
                EndpointEntry(
                    "endpoint-$index",
                    "fukuoka-a",
                    agent.address,
                    replicas = listOf(ReplicaEntry("r$index", FakeAgent.MODEL)),
                    services = listOf("stock", "swaps", "hours"),
                )
            },
        ),
    )

    private class FixedConfiguration(private val value: Configuration) : ConfigurationSource {
        override fun current() = value

        override fun onChange(listener: (Configuration) -> Unit) = Unit
    }

    companion object {
        const val PEPPER = "pepper"
        const val KEY = "cw_k1_0123456789abcdef"

        fun chatBody(stream: Boolean, model: String = FakeAgent.MODEL, text: String = "hello") = """
            {"model":"$model","stream":$stream,"stream_options":{"include_usage":true},
            "messages":[{"role":"user","content":"$text"}]}
        """.trimIndent()
    }
}
