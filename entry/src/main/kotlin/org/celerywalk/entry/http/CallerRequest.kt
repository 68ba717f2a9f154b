package org.celerywalk.entry.http

import io.javalin.http.Context
import java.util.HexFormat
import java.util.concurrent.ThreadLocalRandom

/**
 * Holds what the entry uses of a caller's request.
 *
 * @property requestId made by the entry, returned in the header `x-request-id` and present in every log line.
 * @property headers all header fields, repeated ones one by one.
 */
internal class CallerRequest(context: Context, val requestId: String) {
    val method: String = context.req().method
    val path: String = context.req().requestURI
    val query: String? = context.req().queryString
    val headers: List<Pair<String, String>> = context.req().headerNames.asSequence()
        .flatMap { name -> context.req().getHeaders(name).asSequence().map { name to it } }
        .toList()
    val contentLength: Long = context.req().contentLengthLong

    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

internal const val REQUEST_ID_HEADER = "x-request-id"
private const val REQUEST_ID_BYTES = 12

/** Makes a request id. It identifies log lines and is no secret. */
internal fun newRequestId(): String {
    val bytes = ByteArray(REQUEST_ID_BYTES).also(ThreadLocalRandom.current()::nextBytes)
    return HexFormat.of().formatHex(bytes)
}
