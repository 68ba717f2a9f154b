package org.celerywalk.engine

import kotlin.test.Test

/** Guards against an agent that runs out of memory when its engine sends a body without end. */
class EndlessEngineResponseTest {
    @Test
    fun `a refusal without end`() = assertFails("HTTP/1.1 503 X\r\n\r\n", "a")

    @Test
    fun `a line without end`() = assertFails("HTTP/1.1 200 OK\r\n\r\ndata: ", "a")

    @Test
    fun `an event whose lines have no end`() = assertFails("HTTP/1.1 200 OK\r\n\r\nevent: tokens\n", "data: a\n")

    private fun assertFails(start: String, repeated: String) =
        EndlessEngine(start, repeated).use { it.assertStreamFails() }
}
