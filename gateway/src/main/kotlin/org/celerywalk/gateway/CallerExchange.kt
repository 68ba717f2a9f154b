package org.celerywalk.gateway

import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import okhttp3.Call
import org.celerywalk.platform.wire.CallerRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeMark

/** Says why a request ends before its answer is complete. */
internal enum class Cut {
    /** The caller closed its connection. */
    CALLER_LEFT,

    /** The caller's deadline or the route's timeout has passed. */
    TIME_IS_UP,
}

/** Holds one request of a caller and writes its answer. */
internal class CallerExchange(
    private val request: HttpServletRequest,
    private val response: HttpServletResponse,
    val arrivedAt: TimeMark,
    private val stopping: Boolean,
) {
    private val endPoint = ServletContextRequest.getServletContextRequest(request)
        .connectionMetaData.connection.endPoint as WatchedEndPoint

    val caller: CallerRequest = CallerRequest.decode(request::getHeader)
    val method: String = request.method

    /** Path and query as the caller sent them. */
    val target: String = request.requestURI + request.queryString?.let { "?$it" }.orEmpty()
    val path: String = request.requestURI
    val host: String = request.getHeader("Host").orEmpty()

    /** Header fields in order, repeated ones included. */
    val headers: List<Pair<String, String>> by lazy {
        request.headerNames.toList().flatMap { name -> request.getHeaders(name).toList().map { name to it } }
    }

    @Volatile
    var cut: Cut? = null
        private set

    @Volatile
    private var call: Call? = null

    /** True once a part of the answer was written. */
    var committed: Boolean = false
        private set

    /** Status that was sent, or 0. */
    var status: Int = 0
        private set

    fun elapsed(): Duration = arrivedAt.elapsedNow()

    /** Reads the body, or returns null if it is longer than [limit]. */
    fun readBody(limit: Int): ByteArray? {
        if (request.contentLengthLong > limit) return null
        return request.inputStream.readNBytes(limit + 1).takeIf { it.size <= limit }
    }

    /** Notices from now on that the caller closes the connection. */
    fun watch() {
        endPoint.watch { end(Cut.CALLER_LEFT) }
    }

    fun unwatch() {
        endPoint.unwatch()
    }

    /** Ends the request and the call to an endpoint that is in progress. */
    fun end(reason: Cut) {
        if (cut == null) cut = reason
        call?.cancel()
    }

    /** Makes [call] the one that ends with the request. */
    fun attach(call: Call) {
        this.call = call
        if (cut != null) call.cancel()
    }

    /** Answers without a body of an endpoint. */
    fun refuse(status: Int, reason: String, retryAfter: Duration?) {
        start(status)
        retryAfter?.let { response.setHeader("Retry-After", "%.2f".format(it.toDouble(DurationUnit.SECONDS))) }
        response.contentType = "application/json"
        write("""{"error":{"code":"$reason"}}""".toByteArray())
    }

    /** Begins an answer of an endpoint; [length] is null if it is not known in advance. */
    fun begin(status: Int, fields: List<Pair<String, String>>, length: Long?) {
        start(status)
        fields.forEach { (name, value) -> response.addHeader(name, value) }
        length?.let { response.setContentLengthLong(it) }
    }

    /** Writes and flushes a piece of the body. */
    fun write(bytes: ByteArray, count: Int = bytes.size) {
        try {
            response.outputStream.write(bytes, 0, count)
            response.outputStream.flush()
        } catch (e: IOException) {
            end(Cut.CALLER_LEFT)
            throw CallerGoneException(e)
        }
    }

    /** Closes the connection, so that an answer that is not whole does not look complete. */
    fun abort() {
        endPoint.close()
    }

    private fun start(status: Int) {
        committed = true
        this.status = status
        response.status = status
        if (stopping) response.setHeader("Connection", "close")
    }
}

/** Reports that the caller's connection takes no more bytes. */
internal class CallerGoneException(cause: IOException) : IOException(cause)
