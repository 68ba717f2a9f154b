package org.celerywalk.entry.http

import org.eclipse.jetty.server.HttpConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against per-connection buffers that fill the heap when many streams are open. */
internal class ConnectionMemoryTest {
    private val configuration = HttpConfiguration().apply { limitConnectionBuffers() }

    @Test
    fun `a connection keeps no cache of header fields`() {
        assertEquals(0, configuration.headerCacheSize)
    }

    @Test
    fun `a connection buffers at most 4 KiB of its answer`() {
        assertTrue(
            configuration.outputBufferSize <= MAX_BUFFER_BYTES &&
                configuration.outputAggregationSize <= MAX_BUFFER_BYTES,
        )
    }

    private companion object {
        const val MAX_BUFFER_BYTES = 4 * 1024
    }
}
