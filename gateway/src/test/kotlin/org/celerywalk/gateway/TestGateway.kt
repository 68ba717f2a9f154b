package org.celerywalk.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

private const val MAX_CHECKS = 600
private const val CHECK_INTERVAL_MILLIS = 50L
private const val OK = 200

/** Returns settings of a gateway that reaches no other process. */
internal fun testSettings(): GatewaySettings = GatewaySettingsFile.parse(
    """
    { instance: g, data-centre: dc, first-start: true, prefill-tokens-per-ms: 45, peer-port: 4, contracts: pressure,
      listen: { callers: "127.0.0.1:1", readiness: "127.0.0.1:2", metrics: "127.0.0.1:3" },
      store: "127.0.0.1:1",
      bounds: { key-withdrawal-ms: 2500, stop-grace-s: 8, retry-ratio: 0.2, retry-window-s: 10,
                retry-allowance: 600, order-lease-ms: 3000, weights-deadline-ms: 8000,
                endpoint-drain-ms: 2000, quota-overage: 0.1 } }
    """.trimIndent(),
).fold({ error(it.joinToString()) }, { it })

/** Waits until [condition] holds, and fails with [diagnostics] if it does not within 30 s. */
internal fun awaitUntil(diagnostics: () -> String = { "" }, condition: () -> Boolean) {
    repeat(MAX_CHECKS) {
        if (condition()) return
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MILLIS))
    }
    error("not observed within 30 s ${diagnostics()}")
}

/** Complete gateway on the loopback address that uses [store]; [bounds] changes the bounds of [testSettings]. */
internal class TestGateway(
    private val store: StoreStandIn,
    private val bounds: GatewayBounds.() -> GatewayBounds = { this },
) {
    private val ports = TestPorts.take(4)
    private lateinit var daemon: GatewayDaemon

    /** Port for callers. */
    val port: Int get() = ports[0]

    /** Port for messages of the other gateways. */
    val peerPort: Int get() = ports[3]

    /** Client that sends each request once and waits for up to 30 s. */
    val client: OkHttpClient =
        OkHttpClient.Builder().retryOnConnectionFailure(false).readTimeout(30, TimeUnit.SECONDS).build()

    /** Base URL for callers, without a slash at its end. */
    val url = "http://127.0.0.1:${ports[0]}"

    /** Waits until the gateway has [count] prompt parts in quarantine. */
    fun awaitQuarantinedParts(count: Int) {
        val request = Request.Builder().url("http://127.0.0.1:${ports[2]}/metrics").build()
        awaitUntil {
            val metrics = client.newCall(request).execute().use { it.body.string() }
            metrics.lineSequence().any { it == "celerywalk_quarantine_parts $count.0" }
        }
    }

    /** Starts the gateway and returns when it is ready. */
    fun start() {
        val base = testSettings()
        val settings = base.copy(
            callers = SocketAddress("127.0.0.1", ports[0]),
            readiness = SocketAddress("127.0.0.1", ports[1]),
            metrics = SocketAddress("127.0.0.1", ports[2]),
            peerPort = ports[3],
            store = checkNotNull(SocketAddress.parse(store.address)),
            bounds = base.bounds.bounds(),
        )
        daemon = GatewayDaemon(settings).apply { start() }
        awaitUntil(condition = ::isReady)
    }

    /** Stops the gateway as its process does after a signal, and returns when it has stopped. */
    fun stop() = daemon.stop()

    /** Returns the metrics of the gateway in the text format of Prometheus. */
    fun metrics(): String {
        val request = Request.Builder().url("http://127.0.0.1:${ports[2]}/metrics").build()
        return client.newCall(request).execute().use { it.body.string() }
    }

    /** Returns true if the gateway reports that it can serve callers. */
    fun isReady(): Boolean {
        val request = Request.Builder().url("http://127.0.0.1:${ports[1]}/").build()
        return runCatching { client.newCall(request).execute().use { it.code } }.getOrNull() == OK
    }
}
