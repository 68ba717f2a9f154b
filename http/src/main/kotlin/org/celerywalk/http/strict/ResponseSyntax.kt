package org.celerywalk.http.strict

import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.http.HttpVersion
import java.nio.ByteBuffer

/**
 * Checks that the bytes which a client receives on one connection are responses in HTTP/1.1 (RFC 9112).
 *
 * Clients read responses leniently: OkHttp takes a line without a colon for a field without a name, and a body in an
 * unknown transfer coding for one that ends with its connection. What they repair may mean something else to the next
 * recipient. Not thread-safe.
 */
public class ResponseSyntax {
    private val parser = HttpParser(Handler(), UNLIMITED, HttpCompliance.STRICT).apply { headerCacheSize = 0 }
    private var statusLineBytes = 0
    private var headBytes = 0
    private var isInHead = true
    private var status = 0
    private var fault: String? = null
    private var isExpectingResponse = false
    private var hasSurplusBytes = false

    /**
     * Expects the response to a request with [method].
     *
     * @throws MalformedResponseException if bytes have arrived after the end of the last response.
     */
    public fun expectResponse(method: String) {
        if (hasSurplusBytes) throw MalformedResponseException("bytes arrived after the end of the last response")
        parser.reset()
        parser.setHeadResponse(method == "HEAD")
        statusLineBytes = 0
        headBytes = 0
        isInHead = true
        isExpectingResponse = true
    }

    /**
     * Checks the remaining bytes of [bytes], the next of the connection, and consumes them.
     *
     * Bytes after the end of a response are no fault of that response.
     *
     * @throws MalformedResponseException if the bytes can't be part of a response.
     */
    public fun check(bytes: ByteBuffer) {
        while (isExpectingResponse && bytes.hasRemaining()) {
            checkStatusLine(bytes)
            parse(bytes)
            fault?.let { throw MalformedResponseException("no HTTP response: $it") }
        }
        if (bytes.hasRemaining()) hasSurplusBytes = true
        bytes.position(bytes.limit())
    }

    private fun parse(bytes: ByteBuffer) {
        val start = bytes.position()
        val beginsInHead = isInHead
        parseNext(bytes)
        if (beginsInHead) headBytes += bytes.position() - start
        if (headBytes > MAX_HEAD_BYTES) fault = fault ?: "its heads have more than $MAX_HEAD_BYTES bytes"
        if (isExpectingResponse && bytes.position() == start) fault = fault ?: "its parser has stopped"
        // The parser pauses at the end of a head. A response without body ends there.
        if (beginsInHead && !isInHead && fault == null) parseNext(bytes)
    }

    private fun parseNext(bytes: ByteBuffer) {
        try {
            parser.parseNext(bytes)
        } catch (_: AssertionError) {
            // If assertions are enabled, Jetty fails on reporting an error of a response with a success as its status.
            fault = "a field of its head is invalid"
        }
    }

    // The parser accepts empty lines before the status line, other cases of the protocol name, several spaces, and
    // versions and statuses that HTTP/1.1 does not have.
    private fun checkStatusLine(bytes: ByteBuffer) {
        for (index in bytes.position() until bytes.limit()) {
            if (statusLineBytes == STATUS_LINE_START_BYTES) return
            if (!isAllowedInStatusLine(Char(bytes[index].toInt() and BYTE_MASK))) {
                throw MalformedResponseException("no HTTP response: its status line is invalid")
            }
            statusLineBytes++
        }
    }

    private fun isAllowedInStatusLine(char: Char): Boolean = when (statusLineBytes) {
        in PROTOCOL.indices -> char == PROTOCOL[statusLineBytes]
        MINOR_VERSION_INDEX -> char in "01"
        MINOR_VERSION_INDEX + 1 -> char == ' '
        MINOR_VERSION_INDEX + 2 -> char in '1'..'5'
        STATUS_LINE_START_BYTES - 1 -> char == ' ' || char == '\r'
        else -> char in '0'..'9'
    }

    private inner class Handler : HttpParser.ResponseHandler {
        private var version = HttpVersion.HTTP_1_1
        private var hasTransferEncoding = false

        override fun startResponse(version: HttpVersion, status: Int, reason: String?) {
            this.version = version
            this@ResponseSyntax.status = status
            hasTransferEncoding = false
            if (status == HttpStatus.SWITCHING_PROTOCOLS_101) fault = "the status 101 answers no request"
        }

        override fun parsedHeader(field: HttpField) {
            if (field.header != HttpHeader.TRANSFER_ENCODING) return
            hasTransferEncoding = true
            if (!field.value.equals(CHUNKED, ignoreCase = true)) fault = "the transfer coding is not 'chunked'"
        }

        override fun headerComplete(): Boolean {
            val mayHaveBody = status >= HttpStatus.OK_200 && status != HttpStatus.NO_CONTENT_204 &&
                status != HttpStatus.NOT_MODIFIED_304
            val hasLength = parser.contentLength > 0 && status != HttpStatus.NOT_MODIFIED_304
            when {
                hasTransferEncoding && version == HttpVersion.HTTP_1_0 -> fault = "HTTP/1.0 has no transfer codings"
                !mayHaveBody && (hasTransferEncoding || hasLength) -> fault = "the status $status has no body"
            }
            isInHead = false
            return true
        }

        override fun content(content: ByteBuffer): Boolean {
            content.position(content.limit())
            return false
        }

        override fun contentComplete(): Boolean = false

        override fun messageComplete(): Boolean {
            if (status >= HttpStatus.OK_200) {
                isExpectingResponse = false
            } else {
                parser.reset()
                statusLineBytes = 0
                isInHead = true
            }
            return true
        }

        override fun earlyEOF() {
            fault = "the framing of the body is invalid"
        }

        override fun badMessage(failure: HttpException) {
            fault = failure.reason ?: "status ${failure.code} of the parser"
        }
    }

    private companion object {
        // Limit of a head and its interim responses. Endpoints and the platform send a few short fields.
        const val MAX_HEAD_BYTES = 32 * 1024

        // The parser's own limit is checked too late, after it has taken the bytes for an early end.
        const val UNLIMITED = -1
        const val PROTOCOL = "HTTP/1."
        const val MINOR_VERSION_INDEX = PROTOCOL.length
        const val CHUNKED = "chunked"
        const val BYTE_MASK = 0xFF

        // Number of bytes up to the one after the status, as in "HTTP/1.1 200 ".
        const val STATUS_LINE_START_BYTES = 13
    }
}
