package org.celerywalk.gateway

import okhttp3.Response
import org.celerywalk.http.strict.readBody
import org.celerywalk.limit.MemoryBudget

/** Reads bodies into memory within [memory], which gets back on [close] what the bodies have reserved. */
internal class BoundedBodyReader(private val memory: MemoryBudget) : AutoCloseable {
    private var reservedBytes = 0

    /**
     * Returns the body of [response].
     *
     * @throws java.io.IOException if the body can't be read or is too large.
     */
    fun read(response: Response): ByteArray = response.readBody(MAX_BODY_BYTES) { bytes ->
        memory.tryReserveBytes(bytes).also { if (it) reservedBytes += bytes }
    }

    override fun close() = memory.releaseBytes(reservedBytes)

    private companion object {
        const val MAX_BODY_BYTES = 4L * 1024 * 1024
    }
}
