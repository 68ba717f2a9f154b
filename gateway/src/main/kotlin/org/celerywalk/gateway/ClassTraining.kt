package org.celerywalk.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.net.ServerSocket
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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
        val addresses = List(ADDRESSES) { ServerSocket(0).use { SocketAddress(LOOPBACK, it.localPort) } }
        return GatewaySettings(
            instance = "training",
            dataCentre = "training",
            firstStart = true,
            callers = addresses[0],
            readiness = addresses[1],
            metrics = addresses[2],
            peerPort = addresses.last().port,
            store = addresses.last(),
            prefillTokensPerMilli = 1.0,
            bounds = GatewayBounds(1.seconds, Duration.ZERO, 0.0, 1.seconds, 0, 1.seconds, 1.seconds, 0.0),
        )
    }

    private const val ADDRESSES = 4
}
