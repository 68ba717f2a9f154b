package org.celerywalk.rpc

import com.google.protobuf.Message
import io.grpc.MethodDescriptor
import io.grpc.protobuf.ProtoUtils

internal fun <Q : Message, A : Message> unaryMethod(
    service: String,
    method: String,
    request: Q,
    reply: A,
): MethodDescriptor<Q, A> = descriptorOf(service, method, MethodDescriptor.MethodType.UNARY, request, reply)

internal fun <Q : Message, A : Message> serverStreamingMethod(
    service: String,
    method: String,
    request: Q,
    reply: A,
): MethodDescriptor<Q, A> = descriptorOf(service, method, MethodDescriptor.MethodType.SERVER_STREAMING, request, reply)

private fun <Q : Message, A : Message> descriptorOf(
    service: String,
    method: String,
    type: MethodDescriptor.MethodType,
    request: Q,
    reply: A,
): MethodDescriptor<Q, A> = MethodDescriptor.newBuilder<Q, A>()
    .setType(type)
    .setFullMethodName(MethodDescriptor.generateFullMethodName(service, method))
    .setRequestMarshaller(ProtoUtils.marshaller(request))
    .setResponseMarshaller(ProtoUtils.marshaller(reply))
    .build()
