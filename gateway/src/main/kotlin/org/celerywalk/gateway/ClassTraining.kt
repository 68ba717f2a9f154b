package org.celerywalk.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.net.ServerSocket
import kotlin.system.exitProcess

private const val ROUNDS = 20
private const val LOOPBACK = "127.0.0.1"

/** Starts a gateway without a store and sends it a few requests, so that the JVM can record the classes in use. */
internal object ClassTraining {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val settings = settings()
        GatewayDaemon(settings).start()
        val client = OkHttpClient()
        repeat(ROUNDS) {
            listOf(settings.callers, settings.readiness, settings.metrics).forEach { address ->
                val request = Request.Builder().url("http://$address/page").post("{}".toRequestBody()).build()
                client.newCall(request).execute().use { it.body.string() }
                client.newCall(Request.Builder().url("http://$address/page").build()).execute().use { it.body.string() }
            }
        }
        exitProcess(0)
    }

    private fun settings(): GatewaySettings {
        val addresses = List(ADDRESSES) { ServerSocket(0).use { "$LOOPBACK:${it.localPort}" } }
        val text = """
            instance: training
            data-centre: training
            first-start: true
            listen: { callers: "${addresses[0]}", readiness: "${addresses[1]}", metrics: "${addresses[2]}" }
            peer-port: ${addresses.last().substringAfter(':')}
            store: "${addresses.last()}"
            prefill-tokens-per-ms: 1
            bounds:
              { key-withdrawal-ms: 1000, stop-grace-s: 1, retry-ratio: 0, retry-window-s: 1, retry-allowance: 0,
                order-lease-ms: 1, weights-deadline-ms: 1, quota-overage: 0 }
        """.trimIndent()
        return GatewaySettingsFile.parse(text).fold({ error(it.joinToString()) }, { it })
    }

    private const val ADDRESSES = 4
}
