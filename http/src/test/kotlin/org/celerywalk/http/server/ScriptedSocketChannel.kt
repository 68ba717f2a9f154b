package org.celerywalk.http.server

import java.net.Socket
import java.net.SocketAddress
import java.net.SocketOption
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.nio.channels.spi.SelectorProvider

/** Test double of a connected socket whose bytes come from [receive] and go to [send]; it can't connect. */
public class ScriptedSocketChannel(
    private val send: (ByteBuffer) -> Int = { throw UnsupportedOperationException("the script has no write") },
    private val receive: (ByteBuffer) -> Int,
) : SocketChannel(SelectorProvider.provider()) {
    override fun read(target: ByteBuffer): Int = receive(target)

    override fun read(targets: Array<out ByteBuffer>, offset: Int, length: Int): Long = unsupported()

    override fun write(source: ByteBuffer): Int = send(source)

    override fun write(sources: Array<out ByteBuffer>, offset: Int, length: Int): Long = send(sources[offset]).toLong()

    override fun bind(local: SocketAddress?): SocketChannel = unsupported()

    override fun connect(remote: SocketAddress?): Boolean = unsupported()

    override fun finishConnect(): Boolean = unsupported()

    override fun isConnected(): Boolean = true

    override fun isConnectionPending(): Boolean = false

    override fun shutdownInput(): SocketChannel = this

    override fun shutdownOutput(): SocketChannel = this

    override fun socket(): Socket = unsupported()

    override fun getLocalAddress(): SocketAddress? = null

    override fun getRemoteAddress(): SocketAddress? = null

    override fun <T> setOption(name: SocketOption<T>?, value: T?): SocketChannel = this

    override fun <T> getOption(name: SocketOption<T>?): T? = null

    override fun supportedOptions(): Set<SocketOption<*>> = emptySet()

    override fun implCloseSelectableChannel() = Unit

    override fun implConfigureBlocking(block: Boolean) = Unit

    private fun unsupported(): Nothing = throw UnsupportedOperationException("the script has no such call")
}
