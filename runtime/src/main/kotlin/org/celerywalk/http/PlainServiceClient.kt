package org.celerywalk.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.celerywalk.error.Execution
import org.celerywalk.error.StepError
import java.util.concurrent.CompletableFuture

/** An HTTP request to a plain service. */
public class PlainServiceRequest(
    public val method: String,
    public val path: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
)

/** The HTTP response of a plain service. */
public class PlainServiceResponse(
    public val status: Int,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
)

/** A call without a response. [execution] is `NOT_RUN` only if nothing was sent, else `UNKNOWN`. */
public data class PlainServiceError(
    override val step: String,
    override val peer: String,
    override val message: String,
    public val execution: Execution,
) : StepError

/** HTTP client for a plain service. Each request is sent once and never retried. */
public class PlainServiceClient(private val baseUrl: String, limits: HttpLimits) : AutoCloseable {
    // Each call opens a new connection: a call on a reused connection has an unknown outcome if the service closes the
    // idle connection at that moment.
    private val caller = HttpCaller("service", limits)

    /** Sends [request] once; the future completes normally in every case. */
    public fun call(request: PlainServiceRequest): CompletableFuture<Either<PlainServiceError, PlainServiceResponse>> {
        val hasBody = request.body.isNotEmpty() || request.method in METHODS_WITH_BODY
        val call = try {
            Request.Builder()
                .url(baseUrl + request.path)
                .apply { request.headers.forEach { (name, value) -> addHeader(name, value) } }
                .method(request.method, if (hasBody) request.body.toRequestBody() else null)
        } catch (e: IllegalArgumentException) {
            return CompletableFuture.completedFuture(error("malformed request: ${e.message}", mayBeSent = false).left())
        }
        return caller.call(call).thenApply { result ->
            result.mapLeft { error(it.message, it.mayBeSent) }.flatMap { response ->
                when (val cut = response.findCut()) {
                    null -> PlainServiceResponse(response.status, response.headers.toList(), response.body).right()
                    else -> error("the response was cut: $cut", mayBeSent = true).left()
                }
            }
        }
    }

    override fun close() {
        caller.close()
    }

    private fun error(message: String, mayBeSent: Boolean) = PlainServiceError(
        step = "call service",
        peer = baseUrl,
        message = message,
        execution = if (mayBeSent) Execution.UNKNOWN else Execution.NOT_RUN,
    )

    private companion object {
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
