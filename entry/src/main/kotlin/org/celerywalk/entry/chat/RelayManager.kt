package org.celerywalk.entry.chat

import org.celerywalk.entry.http.Exchange
import org.celerywalk.entry.http.stoppingProblem
import org.celerywalk.error.Execution
import org.celerywalk.key.OpenStreams
import java.util.concurrent.ConcurrentHashMap

/** Starts relays and tracks the running ones. */
internal class RelayManager(
    private val context: RelayContext,
    private val openStreams: OpenStreams,
) {
    private val runningRelays = ConcurrentHashMap.newKeySet<Relay>()

    /** Whether the limit of open streams is reached. */
    val isFull: Boolean get() = runningRelays.size >= context.limits.maxStreams

    /** Returns the time by which a request that arrives now must end, in milliseconds since the epoch. */
    fun newDeadlineMillis(): Long = context.wallClock() + context.limits.requestTimeout.inWholeMilliseconds

    fun start(generation: Generation, exchange: Exchange) {
        val response = exchange.response
        val createdSeconds = context.wallClock() / MILLIS_PER_SECOND
        val json = ChatCompletionJson(generation.requestId, generation.model.name, createdSeconds)
        val writer = if (generation.request.isStreaming) {
            EventStreamWriter(response, json, generation.request.includeUsage)
        } else {
            JsonAnswerWriter(response, json)
        }
        val relay = Relay(generation, writer, response, context)
        val stop = { relay.endEarly(RelayEnd.STOPPED, stoppingProblem(Execution.UNKNOWN)) }
        if (!exchange.passOn(stop)) {
            generation.reservation.settle(0)
            return
        }
        runningRelays += relay
        val registration = openStreams.register(generation.caller) {
            relay.endEarly(RelayEnd.CUT, streamCutProblem(it))
        }
        response.onDrained = relay::onResponseDrained
        response.onDisconnect = relay::onCallerDisconnected
        response.completion.whenComplete { _, _ ->
            registration.end()
            runningRelays -= relay
        }
        relay.start()
    }

    fun tick() = runningRelays.forEach(Relay::tick)

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
