package org.celerywalk.rpc

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import java.net.InetSocketAddress
import java.util.concurrent.Executor

// Limits the data buffered for one stream when its reader is slow. Larger messages still pass, in several frames.
private const val STREAM_WINDOW_BYTES = 64 * 1024

/**
 * Opens a channel to another process of the system.
 *
 * Automatic retries of gRPC are off, because the callers decide which calls may be retried.
 *
 * @param address host and port, for example `10.0.0.5:7001`.
 * @param secret shared secret of all processes, sent with each call.
 * @param executor runs the callbacks of calls; null for gRPC's default thread pool, which is unbounded.
 */
public fun openChannel(address: String, secret: String, executor: Executor? = null): ManagedChannel {
    val host = address.substringBeforeLast(":")
    val port = address.substringAfterLast(":").toInt()
    return NettyChannelBuilder.forAddress(InetSocketAddress(host, port))
        .usePlaintext()
        .disableRetry()
        .flowControlWindow(STREAM_WINDOW_BYTES)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .intercept(SharedSecretClient(secret))
        .apply { if (executor != null) executor(executor) }
        .build()
}
