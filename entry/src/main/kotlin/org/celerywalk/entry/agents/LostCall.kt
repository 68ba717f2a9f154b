package org.celerywalk.entry.agents

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.CallOptions
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import java.util.concurrent.CompletableFuture

/** Failure of a call that got no reply; [wasSent] is false if the request never left this process. */
internal class LostCall(val status: Status, val wasSent: Boolean)

/** Makes a unary call. The future never completes exceptionally. */
internal fun <Q, A> AgentClient.unaryCall(
    method: MethodDescriptor<Q, A>,
    request: Q,
    options: CallOptions,
): CompletableFuture<Either<LostCall, A>> {
    val sentTracker = SentTracker()
    val result = CompletableFuture<Either<LostCall, A>>()
    val observer = object : StreamObserver<A> {
        override fun onNext(reply: A) {
            result.complete(reply.right())
        }

        override fun onError(failure: Throwable) {
            result.complete(LostCall(Status.fromThrowable(failure), sentTracker.wasSent).left())
        }

        override fun onCompleted() {
            result.complete(LostCall(Status.INTERNAL, sentTracker.wasSent).left())
        }
    }
    ClientCalls.asyncUnaryCall(call(method, options.withStreamTracerFactory(sentTracker)), request, observer)
    return result
}
