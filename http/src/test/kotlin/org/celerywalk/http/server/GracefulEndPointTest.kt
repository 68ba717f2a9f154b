package org.celerywalk.http.server

import org.eclipse.jetty.util.Callback
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a connection that is closed after the selector has let its server read from it. */
class GracefulEndPointTest {
    private val unstarted = UnstartedSelector()
    private var isClosing = false
    private val events = mutableListOf<String>()
    private val endPoint = GracefulEndPoint(
        ScriptedSocketChannel { 0 },
        unstarted.selector,
        unstarted.key,
        unstarted.scheduler,
    ) { isClosing }
    private val callback = Callback.from({ events += "read" }, { events += "failed" })

    @Test
    fun `a connection stays open if its bytes are being read`() {
        endPoint.fillInterested(callback)
        endPoint.fillInterest.fillable()
        endPoint.closeIfIdle()
        assertEquals(listOf("read") to true, events to endPoint.isOpen)
    }

    @Test
    fun `a connection that is closed while it waits is not read any more`() {
        endPoint.fillInterested(callback)
        endPoint.closeIfIdle()
        endPoint.fillInterest.fillable()
        assertEquals(listOf("failed") to false, events to endPoint.isOpen)
    }

    @Test
    fun `a connection that was read while its server began to close does not wait for another request`() {
        endPoint.fillInterested(callback)
        endPoint.fillInterest.fillable()
        isClosing = true
        endPoint.closeIfIdle()
        endPoint.tryFillInterested(callback)
        assertEquals(listOf("read", "failed") to false, events to endPoint.isOpen)
    }
}
