package org.celerywalk.gateway

import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/**
 * Opens the socket for callers before anything else is loaded.
 *
 * Callers that connect while the process starts wait in the socket's queue; without it they would be refused, and most
 * callers try a second time only, at once.
 */
public object CallersSocket {
    /** Number of connections that may wait to be accepted. */
    internal const val QUEUED_CONNECTIONS = 512

    /** Listens on [address]. */
    public fun open(address: SocketAddress): ServerSocketChannel = ServerSocketChannel.open()
        .setOption(StandardSocketOptions.SO_REUSEADDR, true)
        .bind(InetSocketAddress(address.host, address.port), QUEUED_CONNECTIONS)
}
