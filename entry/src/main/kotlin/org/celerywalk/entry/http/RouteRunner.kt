package org.celerywalk.entry.http

import io.javalin.http.Context
import org.celerywalk.entry.Lifecycle
import org.celerywalk.error.Execution
import org.celerywalk.http.server.BodyDrain
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.Callback
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Runs routes without occupying a thread while a body arrives or an answer is written. */
internal class RouteRunner(
    private val bodyReader: BodyReader,
    private val lifecycle: Lifecycle,
    private val onRefusal: (requestId: String, clientAccount: String?, Problem) -> Unit,
) {
    private val openRequests = AtomicInteger()
    private val openExchanges = ConcurrentHashMap.newKeySet<Exchange>()

    /** Number of requests whose response is not complete. */
    val openRequestCount: Int get() = openRequests.get()

    /** Answers all open requests because the process stops. */
    fun stopOpenRequests() = openExchanges.forEach(Exchange::stop)

    fun run(context: Context, route: Route) {
        openRequests.incrementAndGet()
        val request = CallerRequest(context, newRandomId())
        context.future {
            val response = CallerResponse(context, request.requestId) { !lifecycle.isServing }
            // An error must not leave the request open, because a planned stop waits for open requests.
            val end = runCatching { admit(context, route, request, response) }.getOrElse {
                refuse(request, response, internalError(request.requestId, it))
                response.completion
            }
            response.completion.whenComplete { _, _ -> openRequests.decrementAndGet() }
            end
        }
    }

    // Returns the end of the request, at which its connection may end or be used for the next one.
    private fun admit(
        context: Context,
        route: Route,
        request: CallerRequest,
        response: CallerResponse,
    ): CompletableFuture<Void?> = route.check(request).fold(
        { refuseUnread(context, request, response, it) },
        { admitted ->
            readBody(context, route, createExchange(request, admitted, response))
            response.completion
        },
    )

    private fun refuseUnread(
        context: Context,
        request: CallerRequest,
        response: CallerResponse,
        problem: Problem,
    ): CompletableFuture<Void?> {
        val rest = Callback.Completable()
        val drain = BodyDrain(ServletContextRequest.getServletContextRequest(context.req()), rest)
        response.isBodyRead = drain.discardArrived()
        refuse(request, response, problem)
        return response.completion.thenCompose {
            drain.succeeded()
            // The caller has its response, whether it sends the rest of the body or not.
            rest.exceptionally { null }
        }
    }

    private fun refuse(request: CallerRequest, response: CallerResponse, problem: Problem) {
        onRefusal(request.requestId, null, problem)
        response.sendProblem(problem)
    }

    private fun createExchange(request: CallerRequest, admitted: AdmittedRequest, response: CallerResponse) =
        Exchange(request, admitted, response) { exchange, problem ->
            onRefusal(exchange.request.requestId, exchange.admittedRequest.clientAccount, problem)
        }

    private fun readBody(context: Context, route: Route, exchange: Exchange) {
        openExchanges += exchange
        exchange.response.completion.whenComplete { _, _ -> openExchanges -= exchange }
        bodyReader.read(context).thenAccept { result ->
            result.fold(exchange::refuse) { body ->
                exchange.response.isBodyRead = true
                exchange.response.completion.whenComplete { _, _ -> body.release() }
                // The body may have arrived long after the head was admitted.
                if (lifecycle.isAcceptingRequests) {
                    route.handle(exchange, body.takeBytes())
                } else {
                    exchange.refuse(stoppingProblem(Execution.NOT_RUN))
                }
            }
        }.exceptionally { failure -> exchange.fail(failure) }
    }
}
