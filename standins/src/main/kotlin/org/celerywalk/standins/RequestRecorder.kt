package org.celerywalk.standins

import io.javalin.http.Context
import java.util.concurrent.ConcurrentLinkedDeque

/**
 * Request as a stand-in received it. Tests search it for API keys that must not be forwarded.
 *
 * @property path full URL with the query string.
 */
public data class RecordedRequest(
    public val method: String,
    public val path: String,
    public val headers: Map<String, String>,
    public val body: String,
)

/** Keeps the newest requests that a stand-in received, up to [capacity]. Thread-safe. */
internal class RequestRecorder(private val capacity: Int = MAX_REQUESTS) {
    private val requests = ConcurrentLinkedDeque<RecordedRequest>()

    fun record(ctx: Context) {
        requests.addLast(RecordedRequest(ctx.method().name, ctx.fullUrl(), ctx.headerMap(), ctx.body()))
        while (requests.size > capacity) requests.pollFirst()
    }

    fun list(): List<RecordedRequest> = requests.toList()

    private companion object {
        const val MAX_REQUESTS = 2000
    }
}
