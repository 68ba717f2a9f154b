package org.celerywalk.entry

import io.grpc.HandlerRegistry
import io.grpc.Server
import io.grpc.ServerInterceptors
import io.grpc.ServerMethodDefinition
import io.grpc.ServerServiceDefinition
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import org.celerywalk.rpc.MAX_MESSAGE_BYTES
import org.celerywalk.rpc.OperatorMethods
import org.celerywalk.rpc.SharedSecretServer
import org.celerywalk.settings.ProcessSettings
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/** Serves other processes and operators over gRPC. */
internal class GrpcServer(settings: ProcessSettings, executor: Executor) {
    private val address = ListenAddress.parse(settings.grpc)
    private val handlerRegistry = DynamicHandlerRegistry()
    private val secretInterceptor = SharedSecretServer(settings.secret, exemptServices = setOf(OperatorMethods.SERVICE))
    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
        .executor(executor)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .fallbackHandlerRegistry(handlerRegistry)
        .build()

    /** Port that the server listens on. */
    val port: Int get() = server.port

    fun start() {
        try {
            server.start()
        } catch (failure: IOException) {
            throw StartException("cannot listen on $address for gRPC", failure)
        }
    }

    fun addService(service: ServerServiceDefinition) {
        val methods = ServerInterceptors.intercept(service, secretInterceptor).methods
        handlerRegistry.methodsByName += methods.associateBy { it.methodDescriptor.fullMethodName }
    }

    fun stop() {
        server.shutdown()
        if (!server.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) server.shutdownNow()
    }

    private companion object {
        const val SHUTDOWN_TIMEOUT_SECONDS = 2L
    }
}

/** Handler registry for services that are added after the server has started, when its port is known. */
private class DynamicHandlerRegistry : HandlerRegistry() {
    @Volatile
    var methodsByName: Map<String, ServerMethodDefinition<*, *>> = emptyMap()

    override fun lookupMethod(methodName: String, authority: String?): ServerMethodDefinition<*, *>? =
        methodsByName[methodName]
}

/** Thrown when an entry cannot start, for example because a port is in use. */
public class StartException(message: String, cause: Throwable) : Exception(message, cause)
