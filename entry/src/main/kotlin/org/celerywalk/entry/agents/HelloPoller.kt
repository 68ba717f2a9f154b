package org.celerywalk.entry.agents

import io.grpc.CallOptions
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.protocol.HelloReply
import org.celerywalk.protocol.HelloRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.rpc.PROTOCOL_VERSION
import org.celerywalk.rpc.toMessage
import org.tinylog.kotlin.Logger
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends `Hello` to agents: first to all new ones, then to one agent per tick, the one with the oldest `Hello`.
 *
 * One `Hello` per tick of 100 ms bounds the traffic to about 2 KB/s, however many endpoints there are; replies to
 * requests bring newer summaries of the endpoints that are in use.
 */
internal class HelloPoller(
    private val endpoints: EndpointRegistry,
    identity: ProcessIdentity,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private val request = HelloRequest.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setSender(identity.toMessage())
        .build()

    fun tick() {
        val clients = endpoints.allClients()
        endpoints.notices.retain(clients.mapNotNull { it.incarnation })
        clients.filter { it.lastHelloSentAt == null }.take(MAX_NEW_AGENTS_PER_TICK).forEach(::sendHello)
        clients.minByOrNull { it.lastHelloSentAt ?: timeSource.markNow() }
            ?.takeIf { client -> client.lastHelloSentAt?.let { it.elapsedNow() >= MIN_HELLO_INTERVAL } ?: true }
            ?.let(::sendHello)
    }

    /** Sends `Hello` to an agent at once, for example because it appears to be another incarnation. */
    fun sendHello(client: AgentClient) {
        client.lastHelloSentAt = timeSource.markNow()
        val options = CallOptions.DEFAULT.withDeadlineAfter(HELLO_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        ClientCalls.asyncUnaryCall(client.call(AgentMethods.HELLO, options), request, ReplyObserver(client))
    }

    private inner class ReplyObserver(private val client: AgentClient) : StreamObserver<HelloReply> {
        override fun onNext(reply: HelloReply) {
            if (reply.protocolVersion != PROTOCOL_VERSION) {
                Logger.warn(
                    "event=protocol_mismatch endpoint={} given={} expected={}",
                    client.endpoint.name,
                    reply.protocolVersion,
                    PROTOCOL_VERSION,
                )
                return
            }
            if (client.incarnation != reply.receiver.incarnation) {
                Logger.info(
                    "event=agent_found endpoint={} incarnation={}",
                    client.endpoint.name,
                    reply.receiver.incarnation,
                )
            }
            if (reply.stopping) endpoints.notices.recordStopping(client.endpoint.name, reply.receiver.incarnation)
            client.incarnation = reply.receiver.incarnation
            reply.replicasList.forEach { client.updateSummary(it.toSummary(client.endpoint.name)) }
        }

        override fun onError(failure: Throwable) = client.clearSummaries()

        override fun onCompleted() = Unit
    }

    private companion object {
        const val HELLO_TIMEOUT_SECONDS = 2L
        const val MAX_NEW_AGENTS_PER_TICK = 32
        val MIN_HELLO_INTERVAL = 1.seconds
    }
}
