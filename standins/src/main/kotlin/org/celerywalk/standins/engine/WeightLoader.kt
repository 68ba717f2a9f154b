package org.celerywalk.standins.engine

import okhttp3.OkHttpClient
import okhttp3.Request
import org.celerywalk.standins.WeightLoadSimulator
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Loads model weights; `load` blocks until they are loaded. */
internal fun interface WeightLoader {
    fun load(model: String, weights: String)
}

/** Loads weights from the weight store at [url], whose limited transfer rate slows down concurrent loads. */
internal class RemoteWeightLoader(private val url: String) : WeightLoader {
    private val client = OkHttpClient.Builder().readTimeout(Duration.ofMinutes(1)).build()

    override fun load(model: String, weights: String) {
        val request = Request.Builder().url("$url/v1/weights/$model/$weights").build()
        client.newCall(request).execute().use { it.body.bytes() }
    }
}

/** Simulates the load time of this engine alone, without a weight store that engines share. */
internal class SimulatedWeightLoader(private val settings: () -> EngineSettings) : WeightLoader {
    override fun load(model: String, weights: String) {
        WeightLoadSimulator(settings().loadMillis.milliseconds).awaitLoad()
    }
}
