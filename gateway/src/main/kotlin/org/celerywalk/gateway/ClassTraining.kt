package org.celerywalk.gateway

import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import okhttp3.Request
import org.celerywalk.platform.wire.LoopbackPlatform
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.system.exitProcess

private const val ROUNDS = 20
private const val LOOPBACK = "127.0.0.1"
private const val READY_CHECKS = 200
private const val CHECK_PAUSE_MILLIS = 50L
private const val OK = 200

/** Runs a gateway on a loopback platform and sends it requests, so that the JVM can record the classes in use. */
internal object ClassTraining {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val platform = LoopbackPlatform().apply { start() }
        val settings = settings(platform.address)
        val client = OkHttpClient.Builder().connectionSpecs(listOf(ConnectionSpec.CLEARTEXT)).build()
        GatewayDaemon(settings).start()
        check(awaitReady(client, settings)) { "the gateway did not get ready on the loopback platform" }
        val answered = List(ROUNDS) { platform.requests(settings.callers.toString()) }.flatten().count { request ->
            client.newCall(request).execute().use { it.body.string().isNotEmpty() && it.code == OK }
        }
        println("$answered requests answered")
        get(client, settings.metrics)
        exitProcess(0)
    }

    private fun awaitReady(client: OkHttpClient, settings: GatewaySettings): Boolean {
        repeat(READY_CHECKS) {
            if (get(client, settings.readiness) == OK) return true
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_PAUSE_MILLIS))
        }
        return false
    }

    private fun get(client: OkHttpClient, address: SocketAddress): Int =
        client.newCall(Request.Builder().url("http://$address/page").build()).execute().use { it.code }

    private fun settings(store: String): GatewaySettings {
        val addresses = List(ADDRESSES) { ServerSocket(0).use { "$LOOPBACK:${it.localPort}" } }
        val text = """
            instance: training
            data-centre: training
            first-start: true
            listen: { callers: "${addresses[0]}", readiness: "${addresses[1]}", metrics: "${addresses[2]}" }
            peer-port: ${addresses.last().substringAfter(':')}
            store: "$store"
            prefill-tokens-per-ms: 1
            bounds:
              { key-withdrawal-ms: 5000, stop-grace-s: 1, retry-ratio: 0, retry-window-s: 1, retry-allowance: 0,
                order-lease-ms: 1, weights-deadline-ms: 8000, quota-overage: 0 }
        """.trimIndent()
        return GatewaySettingsFile.parse(text).fold({ error(it.joinToString()) }, { it })
    }

    private const val ADDRESSES = 4
}
