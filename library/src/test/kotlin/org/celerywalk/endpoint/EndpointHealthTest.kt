package org.celerywalk.endpoint

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against an endpoint that fails requests while its own health check passes. */
class EndpointHealthTest {
    private val time = TestTimeSource()
    private val health = EndpointHealth(time, baseEjectionTime = 1.seconds)

    @Test
    fun `two consecutive failures eject an endpoint, and one does not`() {
        assertFalse(health.recordFailure())
        assertTrue(health.recordFailure())
        assertTrue(health.isEjected)
        time += 1.seconds + 1.milliseconds
        assertFalse(health.isEjected)
    }

    /** Guards against ejections that spread from two gateways to all others. */
    @Test
    fun `an ejection that reports of peers caused is not one to report`() {
        repeat(2) { health.recordPeerEjection() }
        assertTrue(health.isEjected)
        assertFalse(health.isEjectedByOwnCalls)
        time += 1.1.seconds
        repeat(2) { health.recordFailure() }
        assertTrue(health.isEjectedByOwnCalls)
    }

    @Test
    fun `a later start at the address ejects the endpoint at once, each time for longer`() {
        assertTrue(health.recordReplacement())
        assertTrue(health.isEjected)
        time += 1.1.seconds
        assertFalse(health.isEjected)
        assertTrue(health.recordReplacement())
        time += 1.5.seconds
        assertTrue(health.isEjected)
    }

    @Test
    fun `a failure right after an ejection ejects for twice as long`() {
        repeat(2) { health.recordFailure() }
        time += 1.1.seconds
        assertTrue(health.recordFailure())
        time += 1.5.seconds
        assertTrue(health.isEjected)
    }

    @Test
    fun `a failure rate of one in five does not eject`() {
        repeat(20) {
            repeat(4) { health.recordAnswer(error = false) }
            assertFalse(health.recordFailure())
        }
    }

    @Test
    fun `application errors do not eject`() {
        repeat(50) { health.recordAnswer(error = true) }
        assertFalse(health.isEjected)
        assertTrue(health.errorRate > 0.9)
    }
}
