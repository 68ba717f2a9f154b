package org.celerywalk.limit

import java.util.concurrent.atomic.AtomicLong

/** Limits the memory that the bodies of all open requests or responses occupy to [limitBytes]. Thread-safe. */
public class MemoryBudget(private val limitBytes: Long) {
    private val reservedBytes = AtomicLong()

    /** Reserves [bytes]; returns false and reserves nothing if the limit would be exceeded. */
    public fun tryReserveBytes(bytes: Int): Boolean {
        // A refused reservation must not be visible to others, or one that fits could be refused beside it.
        val before = reservedBytes.getAndUpdate { if (it + bytes <= limitBytes) it + bytes else it }
        return before + bytes <= limitBytes
    }

    /** Returns [bytes] that were reserved. */
    public fun releaseBytes(bytes: Int) {
        reservedBytes.addAndGet(-bytes.toLong())
    }
}
