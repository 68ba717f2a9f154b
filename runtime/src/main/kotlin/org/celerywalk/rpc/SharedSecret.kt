package org.celerywalk.rpc

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ForwardingClientCall
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.Status
import java.security.MessageDigest

private val SECRET_HEADER = Metadata.Key.of("celerywalk-secret", Metadata.ASCII_STRING_MARSHALLER)

/** Client interceptor that adds the shared secret of all processes to each call. */
public class SharedSecretClient(private val secret: String) : ClientInterceptor {
    override fun <Q, A> interceptCall(
        method: MethodDescriptor<Q, A>,
        options: CallOptions,
        next: Channel,
    ): ClientCall<Q, A> = object : ForwardingClientCall.SimpleForwardingClientCall<Q, A>(
        next.newCall(method, options),
    ) {
        override fun start(listener: Listener<A>, headers: Metadata) {
            headers.put(SECRET_HEADER, secret)
            super.start(listener, headers)
        }
    }
}

/**
 * Server interceptor that refuses calls without the shared secret.
 *
 * @param exemptServices full names of services that need no shared secret, such as `Operator`, whose calls are
 *   authenticated by the operator's token.
 */
public class SharedSecretServer(secret: String, private val exemptServices: Set<String> = emptySet()) :
    ServerInterceptor {
    private val expectedDigest = digest(secret)

    override fun <Q, A> interceptCall(
        call: ServerCall<Q, A>,
        headers: Metadata,
        next: ServerCallHandler<Q, A>,
    ): ServerCall.Listener<Q> {
        val receivedSecret = headers.get(SECRET_HEADER)
        val isOpen = call.methodDescriptor.serviceName in exemptServices
        if (isOpen || receivedSecret != null && MessageDigest.isEqual(digest(receivedSecret), expectedDigest)) {
            return next.startCall(call, headers)
        }
        call.close(Status.UNAUTHENTICATED.withDescription("the shared secret is missing or wrong"), Metadata())
        return object : ServerCall.Listener<Q>() {}
    }

    // Digests have equal lengths, so the time of the comparison does not depend on the length of the received secret.
    private fun digest(text: String) = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
}
