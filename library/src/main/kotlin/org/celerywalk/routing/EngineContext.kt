package org.celerywalk.routing

import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition

/** Describes the engine and the cache store of the service that a generation is placed in. */
public class EngineContext(public val engine: EngineDefinition, public val store: CacheStoreDefinition?) {
    /** Returns the time to transfer the KV cache of [tokens]; a transfer between data centres takes twice as long. */
    public fun transferMillis(tokens: Int, isRemote: Boolean): Double {
        val bits = tokens.toDouble() * engine.bytesPerToken * BITS_PER_BYTE
        val localMillis = bits / (engine.linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLI)
        return if (isRemote) 2 * localMillis else localMillis
    }

    private companion object {
        const val BITS_PER_BYTE = 8

        // Bits per millisecond of a link of one megabit per second.
        const val BITS_PER_MEGABIT_MILLI = 1_000.0
    }
}
