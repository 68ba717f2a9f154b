package org.celerywalk.gateway

import okhttp3.Response
import okio.BufferedSource
import org.celerywalk.platform.wire.EndpointAnswer
import org.celerywalk.route.RequestKind
import org.celerywalk.route.Route
import org.celerywalk.stream.ServerSentEventSplitter
import java.io.IOException

/** Holds a whole answer of an endpoint. */
internal class WholeEndpointAnswer(val status: Int, val fields: List<Pair<String, String>>, val body: ByteArray)

/** Passes answers of endpoints on to one caller. */
internal class AnswerRelay(private val exchange: CallerExchange, private val route: Route) {
    private val boundaries = ServerSentEventSplitter()

    /** Last event that was passed on, if the stream may go on after it. */
    val lastEventId: String? get() = boundaries.lastEventId.takeIf { route.isResumable }

    /** Passes [response] on, or says why it could not be. [onAnswer] is called at the first byte of the body. */
    fun relay(response: Response, meta: EndpointAnswer, onAnswer: () -> Unit): Verdict = when {
        meta.attemptId != null && meta.attemptId != exchange.caller.attemptId ->
            Verdict.Lost("answer of another request")
        route.kind == RequestKind.STREAMING && response.code == OK -> stream(response, onAnswer)
        exchange.answer.committed -> Verdict.Lost("status_${response.code} for the rest of a stream")
        else -> whole(response, onAnswer)
    }

    /** Writes a whole answer. */
    fun write(answer: WholeEndpointAnswer) {
        exchange.answer.begin(answer.status, answer.fields, answer.body.size.toLong())
        exchange.answer.write(answer.body)
        exchange.answer.end()
    }

    private fun whole(response: Response, onAnswer: () -> Unit): Verdict {
        val body = try {
            response.body.bytes()
        } catch (e: IOException) {
            return Verdict.Lost("body: ${e.message}")
        }
        onAnswer()
        return finish(WholeEndpointAnswer(response.code, response.fields(), body))
    }

    private fun finish(answer: WholeEndpointAnswer): Verdict {
        if (answer.status >= FIRST_ERROR) return Verdict.Failed(answer)
        write(answer)
        return Verdict.Answered
    }

    private fun stream(response: Response, onAnswer: () -> Unit): Verdict {
        val source = response.body.source()
        val buffer = ByteArray(BUFFER_BYTES)
        boundaries.discardPartialEvent()
        while (true) {
            val count = try {
                source.read(buffer)
            } catch (e: IOException) {
                return Verdict.Lost("stream: ${e.message}")
            }
            onAnswer()
            if (count < 0) break
            if (!exchange.answer.committed) begin(response)
            pass(buffer, count)
        }
        if (!exchange.answer.committed) begin(response)
        return if (boundaries.endsAtEventBoundary) ended() else Verdict.Lost("stream ends within an event")
    }

    private fun ended(): Verdict {
        exchange.answer.end()
        return Verdict.Answered
    }

    private fun begin(response: Response) {
        val length = response.header("Content-Length")?.toLongOrNull().takeIf { !route.isResumable }
        exchange.answer.begin(response.code, response.fields(), length)
    }

    // Only a stream that may go on elsewhere is held back to whole events.
    private fun pass(buffer: ByteArray, count: Int) {
        val whole = boundaries.add(String(buffer, 0, count, Charsets.ISO_8859_1))
        if (!route.isResumable) {
            exchange.answer.write(buffer, count)
        } else if (whole.isNotEmpty()) {
            exchange.answer.write(whole.toByteArray(Charsets.ISO_8859_1))
        }
    }

    private fun BufferedSource.read(buffer: ByteArray): Int = read(buffer, 0, buffer.size)

    private fun Response.fields(): List<Pair<String, String>> =
        headers.filterNot { (name, _) -> EndpointAnswer.isConnectionField(name) }

    private companion object {
        const val OK = 200
        const val FIRST_ERROR = 500
        const val BUFFER_BYTES = 8 * 1024
    }
}
