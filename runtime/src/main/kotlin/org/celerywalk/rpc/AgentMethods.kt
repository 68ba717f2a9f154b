package org.celerywalk.rpc

import io.grpc.MethodDescriptor
import org.celerywalk.protocol.BarReply
import org.celerywalk.protocol.BarRequest
import org.celerywalk.protocol.GenerateEvent
import org.celerywalk.protocol.GenerateRequest
import org.celerywalk.protocol.HelloReply
import org.celerywalk.protocol.HelloRequest
import org.celerywalk.protocol.ServiceReply
import org.celerywalk.protocol.ServiceRequest

/** Method descriptors of the `Agent` service in `celerywalk.proto`. */
public object AgentMethods {
    public const val SERVICE: String = "celerywalk.v1.Agent"

    public val HELLO: MethodDescriptor<HelloRequest, HelloReply> =
        unaryMethod(SERVICE, "Hello", HelloRequest.getDefaultInstance(), HelloReply.getDefaultInstance())

    public val GENERATE: MethodDescriptor<GenerateRequest, GenerateEvent> = serverStreamingMethod(
        SERVICE,
        "Generate",
        GenerateRequest.getDefaultInstance(),
        GenerateEvent.getDefaultInstance(),
    )

    public val CALL_SERVICE: MethodDescriptor<ServiceRequest, ServiceReply> =
        unaryMethod(SERVICE, "CallService", ServiceRequest.getDefaultInstance(), ServiceReply.getDefaultInstance())

    public val BAR: MethodDescriptor<BarRequest, BarReply> =
        unaryMethod(SERVICE, "Bar", BarRequest.getDefaultInstance(), BarReply.getDefaultInstance())
}
