package org.celerywalk.gateway.callers

import org.celerywalk.gateway.SocketAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/**
 * Opens the listening socket for callers early in the start of the process.
 *
 * Callers that connect while the process loads wait in the socket's accept queue. Otherwise their connections would be
 * refused, and most callers retry only once and without a delay.
 */
public object CallersSocket {
    /** Length of the accept queue in connections. */
    internal const val ACCEPT_QUEUE_CONNECTIONS = 512

    /** Returns a socket that listens on [address]. Throws an IOException if the address can't be bound. */
    public fun open(address: SocketAddress): ServerSocketChannel = ServerSocketChannel.open()
        .setOption(StandardSocketOptions.SO_REUSEADDR, true)
        .bind(InetSocketAddress(address.host, address.port), ACCEPT_QUEUE_CONNECTIONS)
}
