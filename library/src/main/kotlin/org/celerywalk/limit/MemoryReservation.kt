package org.celerywalk.limit

/** Memory of a [budget] that one request or response has reserved; [close] returns it. Not thread-safe. */
public class MemoryReservation(private val budget: MemoryBudget) : AutoCloseable {
    /** Number of reserved bytes. */
    public var bytes: Int = 0
        private set

    /** Changes the reservation to [newBytes]; returns false and changes nothing if the budget does not allow it. */
    public fun tryResize(newBytes: Int): Boolean {
        val isAllowed = newBytes <= bytes || budget.tryReserveBytes(newBytes - bytes)
        if (isAllowed) {
            if (newBytes < bytes) budget.releaseBytes(bytes - newBytes)
            bytes = newBytes
        }
        return isAllowed
    }

    /** Adds [moreBytes] to the reservation; returns false and changes nothing if the budget does not allow it. */
    public fun tryAdd(moreBytes: Int): Boolean = tryResize(bytes + moreBytes)

    override fun close() {
        tryResize(0)
    }
}
