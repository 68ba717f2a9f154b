package org.celerywalk.entry.http

import java.util.concurrent.atomic.AtomicLong

/** Limits the memory that the bodies of all open requests occupy to [limitBytes]. */
internal class BodyMemoryBudget(private val limitBytes: Long) {
    private val reservedBytes = AtomicLong()

    /** Reserves [bytes]; returns false and reserves nothing if the limit would be exceeded. */
    fun tryReserveBytes(bytes: Int): Boolean {
        val isWithinLimit = reservedBytes.addAndGet(bytes.toLong()) <= limitBytes
        if (!isWithinLimit) reservedBytes.addAndGet(-bytes.toLong())
        return isWithinLimit
    }

    fun releaseBytes(bytes: Int) {
        reservedBytes.addAndGet(-bytes.toLong())
    }
}
