package org.celerywalk.http.strict

import okhttp3.Response
import okio.Buffer

/**
 * Reads the body within the memory that [reserve] allows.
 *
 * A declared length is reserved as a whole before the body is read, so that responses that are read at the same time
 * can't each take a part of what one of them needs and then all fail. A body without a length is reserved in parts, as
 * it arrives.
 *
 * @param reserve reserves a number of bytes for the body in addition to those before, or returns false.
 * @throws ResponseTooLargeException if the body has more than [maxBytes], or if [reserve] returns false.
 */
public fun Response.readBody(maxBytes: Long, reserve: (Int) -> Boolean = { true }): ByteArray {
    val source = body.source()
    val content = Buffer()
    var reservedBytes = 0L
    var neededBytes = declaredBodyBytes()
    var hasMore = true
    while (hasMore) {
        if (maxOf(neededBytes, body.contentLength()) > maxBytes) {
            throw ResponseTooLargeException("the response has more than $maxBytes bytes")
        }
        if (neededBytes > reservedBytes && !reserve((neededBytes - reservedBytes).toInt())) {
            throw ResponseTooLargeException("no memory for the response is left")
        }
        reservedBytes = neededBytes
        hasMore = source.read(content, READ_BYTES) >= 0
        neededBytes = maxOf(reservedBytes, content.size)
    }
    return content.readByteArray()
}

// Responses to HEAD and those that say that nothing has changed declare the length of a body that they don't have.
private fun Response.declaredBodyBytes(): Long =
    if (request.method == "HEAD" || code == NOT_MODIFIED) 0 else body.contentLength().coerceAtLeast(0)

private const val READ_BYTES = 8L * 1024
private const val NOT_MODIFIED = 304
