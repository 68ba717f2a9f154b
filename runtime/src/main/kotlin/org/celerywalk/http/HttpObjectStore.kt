package org.celerywalk.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.celerywalk.platform.ObjectStore
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

/** Client of the platform's object store over HTTP. The wire format is described in docs/stand-ins.md. */
public class HttpObjectStore(private val baseUrl: String, limits: HttpLimits) : ObjectStore, AutoCloseable {
    private val caller = HttpCaller("object-store", limits)

    override fun get(name: String): CompletableFuture<Either<TableError, ByteArray?>> =
        call("get object", Request.Builder().url(urlOf(name))) { response ->
            when (response.status) {
                STATUS_OK -> response.body.right()
                STATUS_NOT_FOUND -> null.right()
                else -> unexpected("get object", response).left()
            }
        }

    override fun put(name: String, content: ByteArray): CompletableFuture<Either<TableError, Unit>> =
        call("put object", Request.Builder().url(urlOf(name)).put(content.toRequestBody())) { response ->
            if (response.status in SUCCESS) Unit.right() else unexpected("put object", response).left()
        }

    override fun close() {
        caller.close()
    }

    private fun <T> call(
        step: String,
        request: Request.Builder,
        read: (BufferedHttpResponse) -> Either<TableError, T>,
    ): CompletableFuture<Either<TableError, T>> = caller.call(request).thenApply { result ->
        result.mapLeft { it.toTableError(step, baseUrl) }.flatMap(read)
    }

    private fun urlOf(name: String): HttpUrl =
        "$baseUrl/v1/objects".toHttpUrl().newBuilder().addPathSegments(name).build()

    private fun unexpected(step: String, response: BufferedHttpResponse): TableError =
        TableError.OutcomeUnknown(step, baseUrl, "HTTP status ${response.status}, expected success")

    private companion object {
        const val STATUS_NOT_FOUND = 404
        val SUCCESS = 200..299
    }
}
