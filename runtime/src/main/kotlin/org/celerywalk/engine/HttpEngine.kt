package org.celerywalk.engine

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.celerywalk.http.BufferedHttpResponse
import org.celerywalk.http.HttpCaller
import org.celerywalk.http.HttpLimits
import org.celerywalk.http.jsonMapper
import org.celerywalk.http.jsonObject
import org.celerywalk.http.parseJson
import org.celerywalk.http.requiredField
import org.celerywalk.http.toBody
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/**
 * Limits of the streams of one engine.
 *
 * @property threads number of threads that deliver the events of all streams.
 * @property idleTimeout maximum time without input from the engine, after which a stream fails.
 */
public data class EngineStreamLimits(public val threads: Int, public val idleTimeout: Duration)

/** Client of a model engine over HTTP. The wire format is described in docs/stand-ins.md. */
public class HttpEngine(
    private val baseUrl: String,
    limits: HttpLimits,
    streamLimits: EngineStreamLimits,
) : Engine, AutoCloseable {
    private val caller = HttpCaller("engine", limits)
    private val streams = EngineStreams(baseUrl, limits.connectTimeout, streamLimits)

    override fun generate(request: EngineRequest, listener: EngineListener): EngineCall {
        val body = jsonObject {
            put("attempt_id", request.attemptId)
            put("prompt", request.prompt)
            put("cache_scope", request.cacheScope)
            put("weights", request.weights)
            putArray("piece_names").apply { request.pieceNames.forEach { add(it.toHexName()) } }
            put("max_tokens", request.maxTokens)
            put("priority", request.priority)
            put("resume_offset", request.resumeOffset)
            put("resume_text", request.resumeText)
        }
        return streams.open("/v1/generate", request.attemptId, jsonMapper.writeValueAsBytes(body), listener)
    }

    override fun status(): CompletableFuture<Either<EngineError, EngineStatus>> =
        call("read engine status", get("$baseUrl/v1/status"), ::statusOf)

    override fun cacheEvents(after: Long): CompletableFuture<Either<EngineError, CacheEvents>> =
        call("read cache events", get("$baseUrl/v1/cache/events?after=$after"), ::eventsOf)

    override fun residentPieces(): CompletableFuture<Either<EngineError, CacheEvents>> =
        call("list resident pieces", get("$baseUrl/v1/cache/pieces"), ::eventsOf)

    override fun order(order: EngineOrder): CompletableFuture<Either<EngineError, EngineStatus>> {
        val body = jsonObject {
            put("model", order.model).put("weights", order.weights).put("fencing_number", order.fencingNumber)
        }
        return call("order weights", Request.Builder().url("$baseUrl/v1/orders").post(body.toBody()), ::statusOf)
    }

    override fun exportPieces(
        cacheScope: String,
        pieces: List<Long>,
    ): CompletableFuture<Either<EngineError, ByteArray>> {
        val body = jsonObject {
            put("cache_scope", cacheScope)
            putArray("pieces").apply { pieces.forEach { add(it.toHexName()) } }
        }
        val request = Request.Builder().url("$baseUrl/v1/kv/export").post(body.toBody())
        return exchange("export pieces", request).thenApply { result -> result.map { it.body } }
    }

    override fun importPieces(cacheScope: String, content: ByteArray): CompletableFuture<Either<EngineError, Unit>> {
        val url = "$baseUrl/v1/kv/import".toHttpUrl().newBuilder().addQueryParameter("cache_scope", cacheScope).build()
        val request = Request.Builder().url(url).post(content.toRequestBody())
        return exchange("import pieces", request).thenApply { result -> result.map { } }
    }

    override fun close() {
        caller.close()
        streams.close()
    }

    private fun <T> call(step: String, request: Request.Builder, read: (JsonNode) -> T) =
        exchange(step, request).thenApply { result ->
            result.flatMap { response ->
                parseJson(response.body, read).mapLeft { EngineError(step, baseUrl, it, isNotExecuted = false) }
            }
        }

    private fun exchange(
        step: String,
        request: Request.Builder,
    ): CompletableFuture<Either<EngineError, BufferedHttpResponse>> = caller.call(request).thenApply { result ->
        result.mapLeft { EngineError(step, baseUrl, it.message, !it.mayBeSent, it.isConnectionRefused) }
            .flatMap {
                if (it.status in SUCCESS) {
                    it.right()
                } else {
                    refusal(step, baseUrl, it.status, it.body, attemptId = null).left()
                }
            }
    }

    private companion object {
        val SUCCESS = 200..299
    }
}

/**
 * Converts an error response of an engine.
 *
 * The request counts as not executed only if the response says so in the field `not_run`, and names the request's
 * [attemptId] if it has one: on a kept connection, an engine could send an earlier refusal again.
 */
internal fun refusal(step: String, peer: String, status: Int, body: ByteArray, attemptId: String?): EngineError {
    val tree = parseJson(body) { it }.getOrNull()
    val message = tree?.path("error")?.asText().orEmpty()
    val isOfRequest = attemptId == null || tree?.path("attempt_id")?.asText() == attemptId
    return EngineError(
        step,
        peer,
        "HTTP status $status: $message",
        isNotExecuted = isOfRequest && tree?.path("not_run")?.asBoolean() == true,
    )
}

private fun get(url: String) = Request.Builder().url(url)

private fun Long.toHexName(): String = HexFormat.of().toHexDigits(this)

private fun statusOf(node: JsonNode) = EngineStatus(
    incarnation = node.requiredField("incarnation").asText(),
    model = node.requiredField("model").asText(),
    weights = node.requiredField("weights").asText(),
    loadingWeights = node.get("loading")?.takeUnless { it.isNull }?.asText(),
    queuedTokens = node.requiredField("queued_tokens").asLong(),
    running = node.requiredField("running").asInt(),
    capacity = node.requiredField("capacity").asInt(),
    lastFencingNumber = node.requiredField("last_fencing_number").asLong(),
)

private fun eventsOf(node: JsonNode) = CacheEvents(
    incarnation = node.requiredField("incarnation").asText(),
    lastSequence = node.requiredField("last_sequence").asLong(),
    events = node.requiredField("events").map {
        CacheEvent(
            sequence = it.requiredField("sequence").asLong(),
            piece = java.lang.Long.parseUnsignedLong(it.requiredField("piece").asText(), HEX_RADIX),
            isResident = it.requiredField("resident").asBoolean(),
        )
    },
)

private const val HEX_RADIX = 16
