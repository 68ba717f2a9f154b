package org.celerywalk.rpc

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.MethodDescriptor
import io.grpc.stub.ClientCalls
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Calls a unary method; the future completes within [deadline], on failure with a `StatusRuntimeException`. */
public fun <Q, A> Channel.call(
    method: MethodDescriptor<Q, A>,
    request: Q,
    deadline: Duration,
): CompletableFuture<A> {
    val options = CallOptions.DEFAULT.withDeadlineAfter(deadline.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    return ReplyFuture<A>().also { ClientCalls.asyncUnaryCall(newCall(method, options), request, it.observer) }
}

/** Adapts an asynchronous function to a handler of a unary method. */
public fun <Q, A> unaryHandler(handle: (Q) -> CompletableFuture<A>): ServerCalls.UnaryMethod<Q, A> =
    ServerCalls.UnaryMethod { request, observer ->
        handle(request).whenComplete { reply, failure ->
            if (failure == null) {
                observer.onNext(reply)
                observer.onCompleted()
            } else {
                observer.onError(failure)
            }
        }
    }

private class ReplyFuture<A> : CompletableFuture<A>() {
    val observer = object : StreamObserver<A> {
        override fun onNext(value: A) {
            complete(value)
        }

        override fun onError(failure: Throwable) {
            completeExceptionally(failure)
        }

        override fun onCompleted() = Unit
    }
}
