package org.celerywalk.http.strict

import okhttp3.Response
import okio.Buffer

/**
 * Reads the body in parts, each of which [reserve] allows before it is added.
 *
 * @throws ResponseTooLargeException if the body has more than [maxBytes], or if [reserve] returns false.
 */
public fun Response.readBody(maxBytes: Long, reserve: (Int) -> Boolean = { true }): ByteArray {
    val source = body.source()
    val content = Buffer()
    var count = 0L
    while (count >= 0) {
        if (maxOf(content.size, body.contentLength()) > maxBytes) {
            throw ResponseTooLargeException("the response has more than $maxBytes bytes")
        }
        if (count > 0 && !reserve(count.toInt())) throw ResponseTooLargeException("no memory for the response is left")
        count = source.read(content, READ_BYTES)
    }
    return content.readByteArray()
}

private const val READ_BYTES = 8L * 1024
