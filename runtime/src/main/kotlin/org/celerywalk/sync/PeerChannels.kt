package org.celerywalk.sync

import io.grpc.ManagedChannel
import org.celerywalk.rpc.openChannel

/**
 * LRU cache of the gRPC channels to peers. Thread-safe.
 *
 * The number of channels is limited, because open channels to hundreds of peers would take too much memory.
 */
internal class PeerChannels(private val secret: String) : AutoCloseable {
    private val channels = object : LinkedHashMap<String, ManagedChannel>(MAX_CHANNELS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ManagedChannel>): Boolean {
            val isFull = size > MAX_CHANNELS
            // A shutdown lets running calls complete.
            if (isFull) eldest.value.shutdown()
            return isFull
        }
    }

    /** Returns the channel to [address], which is opened if necessary. */
    @Synchronized
    fun to(address: String): ManagedChannel = channels.getOrPut(address) { openChannel(address, secret) }

    @Synchronized
    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private companion object {
        const val MAX_CHANNELS = 48
        const val LOAD_FACTOR = 0.75f
    }
}
