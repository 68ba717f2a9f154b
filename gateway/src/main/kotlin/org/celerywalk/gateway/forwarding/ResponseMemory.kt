package org.celerywalk.gateway.forwarding

import org.celerywalk.limit.MemoryBudget

/**
 * Memory for responses that are not complete yet.
 *
 * Bodies and events have limits of their own, so that large bodies can't break off a stream.
 *
 * @property bodies budget for bodies, which are relayed once they are complete.
 * @property partialEvents budget for events of streams that have arrived in part, beyond [OWN_EVENT_BYTES] of each.
 */
internal class ResponseMemory {
    val bodies = MemoryBudget(BODY_BYTES)
    val partialEvents = MemoryBudget(PARTIAL_EVENT_BYTES)

    companion object {
        /** Longest event in bytes that is relayed. */
        const val MAX_EVENT_BYTES = 256 * 1024

        /**
         * Bytes of a partial event that no other stream can take.
         *
         * The requests that may be open at the same time need 800 KB for it, about a hundredth of the heap.
         */
        const val OWN_EVENT_BYTES = 4 * 1024

        // A ninth of the heap that deploy/system.toml allows; a response is held twice while it is put together.
        private const val BODY_BYTES = 8L * 1024 * 1024

        // Eight of the longest events: with the own bytes of all streams, a twentieth of that heap.
        private const val PARTIAL_EVENT_BYTES = 8L * MAX_EVENT_BYTES
    }
}
