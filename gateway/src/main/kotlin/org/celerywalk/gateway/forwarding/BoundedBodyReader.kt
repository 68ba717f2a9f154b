package org.celerywalk.gateway.forwarding

import okhttp3.Response
import org.celerywalk.http.strict.readBody
import org.celerywalk.limit.MemoryBudget
import org.celerywalk.limit.MemoryReservation
import java.io.IOException

/** Reads bodies into memory within a budget, which gets back on [close] what the bodies have reserved. */
internal class BoundedBodyReader(budget: MemoryBudget) : AutoCloseable {
    private val memory = MemoryReservation(budget)

    /**
     * Returns the body of [response].
     *
     * @throws IOException if the body can't be read or is too large; nothing is reserved for it then.
     */
    fun read(response: Response): ByteArray {
        val bytesOfOtherBodies = memory.bytes
        return try {
            response.readBody(MAX_BODY_BYTES, memory::tryAdd)
        } catch (e: IOException) {
            memory.tryResize(bytesOfOtherBodies)
            throw e
        }
    }

    override fun close() = memory.close()

    private companion object {
        const val MAX_BODY_BYTES = 4L * 1024 * 1024
    }
}
