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
internal class RpcServer(settings: ProcessSettings, executor: Executor) {
    private val address = Address.parse(settings.grpc)
    private val services = LateServices()
    private val secret = SharedSecretServer(settings.secret, exemptServices = setOf(OperatorMethods.SERVICE))
    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
        .executor(executor)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .fallbackHandlerRegistry(services)
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

    fun add(service: ServerServiceDefinition) {
        val methods = ServerInterceptors.intercept(service, secret).methods
        services.methods += methods.associateBy { it.methodDescriptor.fullMethodName }
    }

    fun stop() {
        server.shutdown()
        if (!server.awaitTermination(GRACE_SECONDS, TimeUnit.SECONDS)) server.shutdownNow()
    }

    private companion object {
        const val GRACE_SECONDS = 2L
    }
}

/** Finds the methods of services that are added after the server's port is known. */
private class LateServices : HandlerRegistry() {
    @Volatile
    var methods: Map<String, ServerMethodDefinition<*, *>> = emptyMap()

    override fun lookupMethod(methodName: String, authority: String?): ServerMethodDefinition<*, *>? =
        methods[methodName]
}

/** Reports why an entry process cannot start. */
public class StartException(message: String, cause: Throwable) : Exception(message, cause)
