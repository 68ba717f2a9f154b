package org.celerywalk.agent

import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import org.celerywalk.protocol.HelloReply
import org.celerywalk.protocol.HelloRequest
import org.celerywalk.rpc.AgentMethods
import org.celerywalk.rpc.PROTOCOL_VERSION

/** Binds the methods of the gRPC service `Agent` to their handlers. */
internal class AgentGrpcService(
    private val generationHandler: GenerationHandler,
    private val serviceCallHandler: ServiceCallHandler,
    private val buildHelloReply: () -> HelloReply,
    private val isStopping: () -> Boolean,
) {
    fun definition(): ServerServiceDefinition = ServerServiceDefinition.builder(AgentMethods.SERVICE)
        .addMethod(AgentMethods.HELLO, ServerCalls.asyncUnaryCall(::hello))
        .addMethod(
            AgentMethods.GENERATE,
            ServerCalls.asyncServerStreamingCall { request, observer ->
                val callObserver = observer as ServerCallStreamObserver
                val sink = EventSink(request.attemptId, callObserver, isStopping)
                generationHandler.generate(request, callObserver, sink)
            },
        )
        .addMethod(
            AgentMethods.CALL_SERVICE,
            ServerCalls.asyncUnaryCall { request, observer ->
                // A started booking continues after a cancel, so that its outcome is recorded; its reply is dropped.
                (observer as ServerCallStreamObserver).setOnCancelHandler { }
                serviceCallHandler.call(request).thenAccept {
                    observer.sendReply(it.toBuilder().setAgentStopping(isStopping()).build())
                }
            },
        )
        .addMethod(
            AgentMethods.BAR,
            ServerCalls.asyncUnaryCall { request, observer -> observer.sendReply(serviceCallHandler.bar(request)) },
        )
        .build()

    private fun hello(request: HelloRequest, observer: StreamObserver<HelloReply>) {
        if (request.protocolVersion == PROTOCOL_VERSION) {
            observer.sendReply(buildHelloReply())
        } else {
            val message = "unsupported protocol version ${request.protocolVersion}; expected $PROTOCOL_VERSION"
            observer.onError(Status.FAILED_PRECONDITION.withDescription(message).asRuntimeException())
        }
    }
}

private fun <T> StreamObserver<T>.sendReply(reply: T) {
    onNext(reply)
    onCompleted()
}
