package org.celerywalk.gateway

import okhttp3.Call
import org.celerywalk.platform.wire.CallerRequest
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.io.OutputStream
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

/** Holds one request of a caller. */
internal class CallerExchange(
    private val request: Request,
    response: Response,
    callback: Callback,
    val arrivedAt: TimeMark,
    stopping: Boolean,
) {
    private val endPoint = request.connectionMetaData.connection.endPoint as WatchedEndPoint

    val caller: CallerRequest = CallerRequest.decode(request.headers::get)
    val method: String = request.method

    /** Path and query as the caller sent them. */
    val target: String = request.httpURI.pathQuery.orEmpty()
    val path: String = request.httpURI.path.orEmpty()
    val host: String = request.headers["Host"].orEmpty()
    val answer = CallerAnswer(response, callback, endPoint, stopping) { end(Cut.CALLER_LEFT) }

    /** Header fields in order, repeated ones included. */
    val headers: List<Pair<String, String>> by lazy { request.headers.map { it.name to it.value.orEmpty() } }

    @Volatile
    var cut: Cut? = null
        private set

    @Volatile
    private var call: Call? = null

    fun elapsed(): Duration = arrivedAt.elapsedNow()

    /** Reads the body, or returns null if it is longer than [limit]. */
    fun readBody(limit: Int): ByteArray? {
        if (request.length > limit) return null
        return Content.Source.asInputStream(request).readNBytes(limit + 1).takeIf { it.size <= limit }
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
}

/** Writes the answer to one request of a caller. */
internal class CallerAnswer(
    private val response: Response,
    private val callback: Callback,
    private val endPoint: WatchedEndPoint,
    private val stopping: Boolean,
    private val onGone: () -> Unit,
) {
    private val out: OutputStream by lazy { Content.Sink.asOutputStream(response) }

    /** True once a part of the answer was written. */
    var committed: Boolean = false
        private set

    /** Status that was sent, or 0. */
    var status: Int = 0
        private set

    /** Answers without a body of an endpoint. */
    fun refuse(status: Int, reason: String, retryAfter: Duration?) {
        start(status)
        retryAfter?.let { response.headers.put("Retry-After", "%.2f".format(it.toDouble(DurationUnit.SECONDS))) }
        response.headers.put("Content-Type", "application/json")
        val body = """{"error":{"code":"$reason"}}""".toByteArray()
        response.headers.put("Content-Length", body.size.toLong())
        write(body)
        end()
    }

    /** Begins an answer of an endpoint; [length] is null if it is not known in advance. */
    fun begin(status: Int, fields: List<Pair<String, String>>, length: Long?) {
        start(status)
        fields.forEach { (name, value) -> response.headers.add(name, value) }
        length?.let { response.headers.put("Content-Length", it) }
    }

    /** Writes a piece of the body at once. */
    fun write(bytes: ByteArray, count: Int = bytes.size): Unit = guarded { out.write(bytes, 0, count) }

    /** Ends a whole answer. */
    fun end() {
        guarded { out.close() }
        callback.succeeded()
    }

    /** Closes the connection, so that an answer that is not whole does not look complete. */
    fun abort() {
        endPoint.close()
        callback.failed(IOException("the answer is not whole"))
    }

    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (e: IOException) {
            onGone()
            throw CallerGoneException(e)
        }
    }

    private fun start(status: Int) {
        committed = true
        this.status = status
        response.status = status
        if (stopping) response.headers.put("Connection", "close")
    }
}

/** Reports that the caller's connection takes no more bytes. */
internal class CallerGoneException(cause: IOException) : IOException(cause)
