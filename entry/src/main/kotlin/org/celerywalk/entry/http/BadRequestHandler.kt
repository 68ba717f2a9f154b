package org.celerywalk.entry.http

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.handler.ErrorHandler
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer

/** Answers requests that the HTTP parser rejects, in the same JSON format as all other errors. */
internal class BadRequestHandler(private val onRefusal: (requestId: String, Problem) -> Unit) : ErrorHandler() {
    override fun generateResponse(
        request: Request,
        response: Response,
        code: Int,
        message: String?,
        cause: Throwable?,
        callback: Callback,
    ) {
        val requestId = newRandomId()
        val problem = if (code >= HttpStatus.INTERNAL_SERVER_ERROR) {
            internalError(requestId, cause ?: IllegalStateException(message))
        } else {
            // The parser's message may quote the request, so the caller does not get it.
            invalidRequest("bad_request", "the request is not valid HTTP/1.1 or exceeds a limit", code)
        }
        onRefusal(requestId, problem)
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        response.headers.put(REQUEST_ID_HEADER, requestId)
        response.write(true, ByteBuffer.wrap(problem.toJson()), callback)
    }
}
