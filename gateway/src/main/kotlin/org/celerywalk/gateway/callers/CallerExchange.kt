package org.celerywalk.gateway.callers

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import okhttp3.Call
import okio.Buffer
import okio.source
import org.celerywalk.http.server.BodyDrain
import org.celerywalk.http.server.isNextRequestAhead
import org.celerywalk.limit.MemoryReservation
import org.celerywalk.platform.wire.CallerRequest
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeMark

/** Reason why a request is cancelled before its response is complete. */
internal enum class CancelReason {
    /** The caller closed its connection. */
    CALLER_LEFT,

    /** The caller left the response unread. */
    LEFT_UNREAD,

    /** The caller's deadline or the route's timeout has passed. */
    TIME_IS_UP,

    /** The process is about to end. */
    STOPPING,
}

/** Reason why the body of a request can't be read. */
internal enum class BodyProblem {
    /** The body is longer than the configuration allows. */
    TOO_LARGE,

    /** The bodies of the open requests have reached the limit of memory. */
    NO_MEMORY,
}

/** Request of a caller, with its decoded fields, its response and its cancellation. */
internal class CallerExchange(
    private val request: Request,
    jettyResponse: Response,
    callback: Callback,
    val arrivedAt: TimeMark,
    isStopping: () -> Boolean,
) {
    private val connection = CallerConnection(request, isStopping)
    private val endPoint = connection.endPoint
    private val bodyDrain = BodyDrain(request, callback)

    /** Time that the first bytes of this request waited behind the request before it, or null if they did not. */
    val readAheadAge: Duration? = endPoint.takeReadAheadAge()

    val caller: CallerRequest = CallerRequest.decode(request.headers::get)
    val method: String = request.method

    /** Path and query exactly as the caller sent them. */
    val target: String = request.httpURI.pathQuery.orEmpty()
    val path: String = request.httpURI.path.orEmpty()
    val host: String = request.headers["Host"].orEmpty()
    val response = CallerResponse(jettyResponse, bodyDrain, connection) { cancel(CancelReason.CALLER_LEFT) }

    /** Header fields in order, including repeated ones. */
    val headers: List<Pair<String, String>> by lazy { request.headers.map { it.name to it.value.orEmpty() } }

    /** Reason of the cancellation, or null while the request is not cancelled. Written and read by several threads. */
    @Volatile
    var cancelReason: CancelReason? = null
        private set

    private val cancelled = CountDownLatch(1)

    @Volatile
    private var activeCall: Call? = null

    /** Returns the time since the request's arrival. */
    fun elapsed(): Duration = arrivedAt.elapsedNow()

    /**
     * Reads the body within [memory], or returns the reason why it can't be read.
     *
     * @throws IOException if the caller breaks the body off.
     */
    fun readBody(maxBytes: Int, memory: MemoryReservation): Either<BodyProblem, ByteArray> {
        val input = Content.Source.asInputStream(request).source()
        val content = Buffer()
        var hasMore = request.length <= maxBytes
        while (hasMore) {
            val count = input.read(content, READ_BYTES)
            hasMore = count >= 0 && content.size <= maxBytes && memory.tryResize(content.size.toInt())
        }
        return when {
            maxOf(request.length, content.size) > maxBytes -> BodyProblem.TOO_LARGE.left()
            content.size > memory.bytes -> BodyProblem.NO_MEMORY.left()
            else -> content.readByteArray().right()
        }
    }

    /** Discards what has arrived of a body that is not going to be read. */
    fun discardArrivedBody() {
        bodyDrain.discardArrived()
    }

    /** Cancels the request from now on if the caller closes the connection or leaves the response unread. */
    fun watchForDisconnect() {
        endPoint.watchForDisconnect({ cancel(CancelReason.LEFT_UNREAD) }) { cancel(CancelReason.CALLER_LEFT) }
    }

    fun stopWatching() {
        endPoint.stopWatching()
    }

    /** Cancels the request and the call to an endpoint that is in progress; the first reason is kept. */
    fun cancel(reason: CancelReason) {
        if (cancelReason == null) cancelReason = reason
        cancelled.countDown()
        activeCall?.cancel()
    }

    /** Waits until the request is cancelled, at most for [duration]; returns true if it is cancelled. */
    fun awaitCancellation(duration: Duration): Boolean =
        cancelled.await(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    /** Makes [call] the call that is cancelled with the request; cancels it at once if the request already is. */
    fun attach(call: Call) {
        this.activeCall = call
        if (cancelReason != null) call.cancel()
    }

    private companion object {
        const val READ_BYTES = 8L * 1024
    }
}

/** Connection of a response to [request]; it ends after the response of a gateway that is stopping. */
internal class CallerConnection(private val request: Request, private val isStopping: () -> Boolean) {
    val endPoint = request.connectionMetaData.connection.endPoint as DisconnectDetectingEndPoint

    /** True if the gateway closes the connection after the response, so that the caller sends no more requests. */
    val closesAfterResponse: Boolean get() = isStopping() && !request.isNextRequestAhead

    /** True if the caller can receive a body in chunks. */
    val supportsChunks: Boolean get() = request.connectionMetaData.httpVersion >= HttpVersion.HTTP_1_1
}

/** Writes the response to one request of a caller. */
internal class CallerResponse(
    private val response: Response,
    private val callback: Callback,
    private val connection: CallerConnection,
    private val onDisconnect: () -> Unit,
) {
    private val output: OutputStream by lazy { Content.Sink.asOutputStream(response) }

    /** True once the response has been started. Read by several threads. */
    @Volatile
    var isCommitted: Boolean = false
        private set

    /** HTTP status of the response, or 0 before it is started. */
    var status: Int = 0
        private set

    /** Sends an error response of the gateway's own, with [reason] as its error code. */
    fun refuse(status: Int, reason: String, retryAfter: Duration?) {
        commit(status)
        retryAfter?.let { response.headers.put("Retry-After", "%.2f".format(it.toDouble(DurationUnit.SECONDS))) }
        response.headers.put("Content-Type", "application/json")
        val body = """{"error":{"code":"$reason"}}""".toByteArray()
        response.headers.put("Content-Length", body.size.toLong())
        write(body)
        complete()
    }

    /**
     * Starts a response of an endpoint; [length] in bytes is null if it is not known in advance.
     *
     * Without a length, the end of the body must be distinguishable from the end of the connection, which also ends if
     * the endpoint or this process fails. The body is therefore sent in chunks, or for a caller that does not support
     * them, over a connection that is reset unless [complete] is called.
     */
    fun start(status: Int, fields: List<Pair<String, String>>, length: Long?) {
        commit(status)
        fields.forEach { (name, value) -> response.headers.add(name, value) }
        when {
            length != null -> response.headers.put("Content-Length", length)
            // Jetty otherwise sends no chunks if the connection is closed after the response.
            connection.supportsChunks -> response.headers.put("Transfer-Encoding", "chunked")
            else -> connection.endPoint.resetsOnClose = true
        }
    }

    /** Writes the first [count] bytes of [bytes] to the body; throws [CallerDisconnectedException] if that fails. */
    fun write(bytes: ByteArray, count: Int = bytes.size): Unit = detectDisconnect { output.write(bytes, 0, count) }

    /** Ends a complete response. */
    fun complete() {
        detectDisconnect {
            connection.endPoint.resetsOnClose = false
            output.close()
        }
        callback.succeeded()
    }

    /** Closes the connection, so that the caller can't take an incomplete response for a complete one. */
    fun abort() {
        connection.endPoint.close()
        callback.failed(IOException("the response is incomplete"))
    }

    private fun detectDisconnect(action: () -> Unit) {
        try {
            action()
        } catch (e: IOException) {
            onDisconnect()
            throw CallerDisconnectedException(e)
        }
    }

    private fun commit(status: Int) {
        isCommitted = true
        this.status = status
        response.status = status
        if (connection.closesAfterResponse) response.headers.put("Connection", "close")
    }
}

/** The response can't be written because the caller's connection is closed. */
internal class CallerDisconnectedException(cause: IOException) : IOException(cause)
