package org.celerywalk.gateway.forwarding

import okhttp3.Response
import org.celerywalk.gateway.callers.CallerExchange
import org.celerywalk.limit.MemoryReservation
import org.celerywalk.platform.wire.EndpointResponseHeaders
import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import org.celerywalk.stream.ServerSentEventSplitter
import java.io.IOException
import kotlin.time.Duration

/** Response of an endpoint whose body has been read completely. */
internal class BufferedResponse(val status: Int, val fields: List<Pair<String, String>>, val body: ByteArray)

/**
 * Relays responses of endpoints to one caller.
 *
 * @param memory memory for the bodies and partial events that are held; [close] returns what this relay has reserved.
 */
internal class ResponseRelay(
    private val exchange: CallerExchange,
    private val route: Route,
    memory: ResponseMemory,
) : AutoCloseable {
    private val bodyReader = BoundedBodyReader(memory.bodies)
    private val partialEventMemory = MemoryReservation(memory.partialEvents)
    private val boundaries = ServerSentEventSplitter()

    // A stream of short events needs nothing that the long or endless events of other streams can use up.
    private val sharedEventBytes: Int
        get() = (boundaries.partialEventBytes - ResponseMemory.OWN_EVENT_BYTES).coerceAtLeast(0)

    /** True once an endpoint has sent a complete event or a complete body for this request. */
    var hasAnswerBegun: Boolean = false
        private set

    /**
     * True unless the response has begun without an event that another endpoint could continue after. Read by several
     * threads.
     */
    @Volatile
    var canContinue: Boolean = true
        private set

    /**
     * Time since the request's arrival at which the last event arrived, or the head of the last stream if it had none;
     * bytes that complete no event don't count. Read by several threads.
     */
    @Volatile
    var lastEventAt: Duration = Duration.ZERO
        private set

    /** ID of the last event that was relayed, or null if there is none or the stream is not resumable. */
    val lastEventId: String? get() = boundaries.lastEventId.takeIf { route.isResumable }

    /**
     * Relays [response] to the caller and returns the outcome.
     *
     * A server error is returned instead of relayed, so that the request can be retried. [onBodyRead] is called after
     * each read of the body: once for a buffered response; for a stream, first when its first bytes have arrived. Bytes
     * of a stream are relayed under [claim], and none are once its call is cancelled.
     */
    fun relay(response: Response, claim: SendClaim, onBodyRead: () -> Unit): AttemptOutcome = when {
        exchange.response.isCommitted && !(response.code == OK && response.mayBeEventStream()) ->
            AttemptOutcome.ResponseLost("status_${response.code} for the rest of a stream")
        route.kind == RequestKind.STREAMING && response.code == OK -> relayStream(response, claim, onBodyRead)
        else -> relayBuffered(response, onBodyRead)
    }

    /** Sends a buffered response to the caller. */
    fun sendBuffered(bufferedResponse: BufferedResponse) {
        exchange.response.start(bufferedResponse.status, bufferedResponse.fields, bufferedResponse.body.size.toLong())
        exchange.response.write(bufferedResponse.body)
        exchange.response.complete()
    }

    private fun relayBuffered(response: Response, onBodyRead: () -> Unit): AttemptOutcome {
        val body = try {
            bodyReader.read(response)
        } catch (e: IOException) {
            return AttemptOutcome.ResponseLost("body: ${e.message}")
        }
        val bufferedResponse = BufferedResponse(response.code, response.fields(), body)
        val mayBeCut = body.isEmpty() && response.code == OK && !response.hasFramedBody()
        if (!mayBeCut) {
            hasAnswerBegun = true
            onBodyRead()
        }
        return when {
            mayBeCut -> AttemptOutcome.ResponseLost("response without length ends before its first byte")
            response.code >= MIN_SERVER_ERROR_STATUS -> AttemptOutcome.ServerError(bufferedResponse)
            else -> AttemptOutcome.Completed.also { sendBuffered(bufferedResponse) }
        }
    }

    override fun close() {
        bodyReader.close()
        partialEventMemory.close()
    }

    private fun relayStream(response: Response, claim: SendClaim, onBodyRead: () -> Unit): AttemptOutcome {
        val source = response.body.source()
        val buffer = ByteArray(BUFFER_BYTES)
        var hasEvents = false
        var fault: String? = null
        lastEventAt = exchange.elapsed()
        boundaries.discardPartialEvent()
        do {
            val count = try {
                source.read(buffer, 0, buffer.size)
            } catch (e: IOException) {
                fault = "stream: ${e.message}"
                END_OF_BODY
            }
            val isRelayed = count <= 0 || claim.tryRelay {
                if (relayChunk(response, buffer, count)) {
                    hasEvents = true
                    hasAnswerBegun = true
                    lastEventAt = exchange.elapsed()
                }
                onBodyRead()
            }
            if (!isRelayed) fault = "stream: cancelled"
            val canHoldEvent = boundaries.partialEventBytes <= ResponseMemory.MAX_EVENT_BYTES &&
                partialEventMemory.tryResize(sharedEventBytes)
        } while (count >= 0 && fault == null && canHoldEvent)
        return (fault ?: findStreamFault(response, hasEvents))?.let(AttemptOutcome::ResponseLost)
            ?: completeStream(response)
    }

    // Returns the reason why the stream is not complete at the end of its response, or null if it is.
    private fun findStreamFault(response: Response, hasEvents: Boolean): String? = when {
        boundaries.partialEventBytes > ResponseMemory.MAX_EVENT_BYTES ->
            "stream: an event has more than ${ResponseMemory.MAX_EVENT_BYTES} bytes"
        sharedEventBytes > partialEventMemory.bytes -> "stream: no memory for an event is left"
        !boundaries.endsAtEventBoundary -> "stream ends within an event"
        !hasEvents && !response.hasFramedBody() -> "stream without length ends before its first event"
        else -> null
    }

    private fun completeStream(response: Response): AttemptOutcome {
        startIfNeeded(response)
        exchange.response.complete()
        return AttemptOutcome.Completed
    }

    // Relayed without its length, since a stream of that length may still end within an event.
    private fun startIfNeeded(response: Response) {
        if (!exchange.response.isCommitted) exchange.response.start(response.code, response.fields(), null)
    }

    // A resumable stream is relayed in whole events, so that another endpoint can continue it after the last one.
    // Returns true if the bytes complete an event; a comment is none.
    private fun relayChunk(response: Response, buffer: ByteArray, count: Int): Boolean {
        val completeEvents = boundaries.add(String(buffer, 0, count, Charsets.ISO_8859_1))
        if (!route.isResumable) {
            canContinue = false
            startIfNeeded(response)
            exchange.response.write(buffer, count)
        } else if (completeEvents.isNotEmpty()) {
            canContinue = lastEventId != null
            startIfNeeded(response)
            exchange.response.write(completeEvents.toByteArray(Charsets.ISO_8859_1))
        }
        return completeEvents.lineSequence().any { it.startsWith(DATA_FIELD) }
    }

    private companion object {
        const val OK = 200
        const val END_OF_BODY = -1
        const val MIN_SERVER_ERROR_STATUS = 500
        const val BUFFER_BYTES = 8 * 1024
        const val DATA_FIELD = "data"
    }
}

private fun Response.fields(): List<Pair<String, String>> =
    headers.filterNot { (name, _) -> EndpointResponseHeaders.isHopByHopField(name) }

// True if the end of the body can be told from the end of the connection.
private fun Response.hasFramedBody(): Boolean =
    body.contentLength() >= 0 || header("Transfer-Encoding").equals("chunked", ignoreCase = true)

private fun Response.mayBeEventStream(): Boolean =
    header("Content-Type")?.startsWith("text/event-stream", ignoreCase = true) ?: true
