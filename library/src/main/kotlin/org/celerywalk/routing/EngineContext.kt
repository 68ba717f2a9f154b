package org.celerywalk.routing

import org.celerywalk.fleet.CacheStoreDefinition
import org.celerywalk.fleet.EngineDefinition

/** Gives the properties of the service whose replicas are chosen from. */
public class EngineContext(public val engine: EngineDefinition, public val store: CacheStoreDefinition?) {
    /** Time to move [tokens] of KV cache, twice as long between data centres. */
    public fun transferMillis(tokens: Int, remote: Boolean): Double {
        val bits = tokens.toDouble() * engine.bytesPerToken * BITS_PER_BYTE
        val oneWay = bits / (engine.linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLI)
        return if (remote) 2 * oneWay else oneWay
    }

    private companion object {
        const val BITS_PER_BYTE = 8

        // A link of one megabit a second moves this many bits in a millisecond.
        const val BITS_PER_MEGABIT_MILLI = 1_000.0
    }
}
