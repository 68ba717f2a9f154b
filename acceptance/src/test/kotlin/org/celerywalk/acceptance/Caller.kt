package org.celerywalk.acceptance

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.celerywalk.standins.engine.DeterministicCompletion
import java.io.IOException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private val json = ObjectMapper()
private val jsonType = "application/json".toMediaType()
private const val TIMEOUT_SECONDS = 60L
private val client = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .readTimeout(Duration.ofSeconds(TIMEOUT_SECONDS))
    .build()

/** Returns the first [tokens] tokens of the completion that every engine generates for one user message. */
internal fun expectedCompletion(message: String, tokens: Int): String =
    DeterministicCompletion("<|user|>\n$message\n<|assistant|>\n").text(0, tokens)

/** HTTP client of one entry that calls with one API key. */
internal class Caller(private val url: String, private val key: String) {
    /** Returns the HTTP status code of a GET request, 0 if the entry is unreachable. */
    fun status(path: String): Int = try {
        client.newCall(Request.Builder().url(url + path).header("x-api-key", key).build()).execute().use { it.code }
    } catch (_: IOException) {
        0
    }

    /** Returns the value of the metric [name] without labels, or null if the entry does not report it. */
    fun metric(name: String): Double? =
        client.newCall(Request.Builder().url("$url/metrics").build()).execute().use { response ->
            response.body.string().lines().find { it.startsWith("$name ") }?.substringAfter(' ')?.toDouble()
        }

    /** Books a swap at [stop] with an idempotency key that depends on the stop alone; returns HTTP status and body. */
    fun book(stop: String): Pair<Int, JsonNode> {
        val request = Request.Builder().url("$url/services/swaps/$stop")
            .header("Authorization", "Bearer $key")
            .header("Idempotency-Key", "monday-$stop")
            .post("""{"bucket":"peony"}""".toRequestBody(jsonType))
        return client.newCall(request.build()).execute().use { it.code to json.readTree(it.body.string()) }
    }

    /** Starts a streamed chat completion with a single user message. */
    fun stream(message: String, maxTokens: Int): CompletionStream {
        val body = json.createObjectNode().put("model", "assistant").put("stream", true).put("max_tokens", maxTokens)
        body.putObject("stream_options").put("include_usage", true)
        body.putArray("messages").addObject().put("role", "user").put("content", message)
        val request = Request.Builder().url("$url/v1/chat/completions")
            .header("Authorization", "Bearer $key")
            .post(json.writeValueAsBytes(body).toRequestBody(jsonType))
        return CompletionStream(client.newCall(request.build()))
    }
}

/** Reads one streamed completion on a background thread. */
internal class CompletionStream(private val call: Call) {
    private val content = StringBuffer()
    private val end = CompletableFuture<Unit>()

    /** Data of the last server-sent event (`[DONE]` after a normal end), or the body of an error response. */
    @Volatile
    var lastData: String = ""
        private set

    @Volatile
    var status: Int = 0
        private set

    @Volatile
    var cachedTokens: Int = 0
        private set

    val text: String get() = content.toString()
    val isEnded: Boolean get() = end.isDone

    init {
        thread(isDaemon = true) {
            try {
                readResponse()
            } catch (_: IOException) {
                lastData = "connection closed"
            } finally {
                end.complete(Unit)
            }
        }
    }

    /** Waits for the end of the stream and returns [lastData]. */
    fun awaitEnd(): String {
        end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return lastData
    }

    fun awaitFirstToken(): CompletionStream = apply {
        waitUntil("the first token arrives; last data: $lastData") { text.isNotEmpty() }
    }

    fun disconnect() = call.cancel()

    private fun readResponse() = call.execute().use { response ->
        status = response.code
        if (status != OK) lastData = response.body.string()
        response.body.source().let { source ->
            generateSequence { if (status == OK) source.readUtf8Line() else null }
                .filter { it.startsWith(DATA_PREFIX) }
                .forEach { handleEvent(it.removePrefix(DATA_PREFIX)) }
        }
    }

    private fun handleEvent(data: String) {
        lastData = data
        if (data == "[DONE]") return
        val event = json.readTree(data)
        event.path("choices").forEach { content.append(it.path("delta").path("content").asText("")) }
        val cachedCount = event.path("usage").path("prompt_tokens_details").path("cached_tokens").asInt()
        if (cachedCount > 0) cachedTokens = cachedCount
    }

    private companion object {
        const val OK = 200
        const val DATA_PREFIX = "data: "
    }
}
