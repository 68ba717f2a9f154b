package org.celerywalk.endpoint

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Guards against requests to endpoints that no longer exist, and against the loss of endpoints whose registration
 * expired during a registry outage.
 */
class EndpointDirectoryTest {
    private val time = TestTimeSource()
    private val directory = EndpointDirectory(time, outageThreshold = 3.seconds, reregistrationGrace = 2.seconds)

    @Test
    fun `a missing endpoint is removed at once if there was no registry outage`() {
        directory.update(listOf(endpoint("a"), endpoint("b")))
        time += 1.seconds
        val change = directory.update(listOf(endpoint("a")))
        assertEquals(listOf("b"), change.removed.map { it.id })
        assertEquals(listOf("a"), directory.servingEndpoints("s").map { it.id })
    }

    @Test
    fun `endpoints whose registrations expired in an outage are kept for the reregistration grace period`() {
        directory.update(listOf(endpoint("a"), endpoint("b")))
        time += 10.seconds
        directory.update(listOf(endpoint("a")))
        assertEquals(listOf("a", "b"), directory.servingEndpoints("s").map { it.id }.sorted())
        time += 1.seconds
        directory.update(listOf(endpoint("a")))
        assertEquals(2, directory.servingEndpoints("s").size)
        time += 1.5.seconds
        directory.update(listOf(endpoint("a")))
        assertEquals(listOf("a"), directory.servingEndpoints("s").map { it.id })
    }

    @Test
    fun `a draining endpoint gets no new requests`() {
        directory.update(listOf(endpoint("a")))
        val change = directory.update(listOf(endpoint("a").copy(isDraining = true)))
        assertEquals(listOf("a"), change.startedDraining.map { it.id })
        assertEquals(emptyList(), directory.servingEndpoints("s"))
    }

    @Test
    fun `an endpoint is removed when a later start registers its address`() {
        directory.update(listOf(endpoint("a", "10.0.0.1:80", 1_000), endpoint("b", "10.0.0.2:80", 1_000)))
        val change = directory.update(
            listOf(
                endpoint("a", "10.0.0.1:80", 1_000),
                endpoint("b", "10.0.0.2:80", 1_000),
                endpoint("a2", "10.0.0.1:80", 9_000),
            ),
        )
        assertEquals(listOf("a"), change.removed.map { it.id })
        assertEquals(listOf("a2", "b"), directory.servingEndpoints("s").map { it.id }.sorted())
    }

    @Test
    fun `the grace period after an outage does not keep an endpoint whose address a later start registered`() {
        directory.update(listOf(endpoint("a", "10.0.0.1:80", 1_000)))
        time += 10.seconds
        directory.update(listOf(endpoint("a2", "10.0.0.1:80", 9_000)))
        assertEquals(listOf("a2"), directory.servingEndpoints("s").map { it.id })
    }

    @Test
    fun `a registry entry of another service at the same address does not replace an endpoint`() {
        val foreign = endpoint("x", "10.0.0.1:80", 9_000).copy(service = "nobody's")
        directory.update(listOf(endpoint("a", "10.0.0.1:80", 1_000), foreign))
        assertEquals(listOf("a"), directory.servingEndpoints("s").map { it.id })
    }

    @Test
    fun `endpoints without a start time are kept although a later start shares their address`() {
        directory.update(listOf(endpoint("a", "10.0.0.1:80", null), endpoint("a2", "10.0.0.1:80", 9_000)))
        assertEquals(2, directory.servingEndpoints("s").size)
    }

    private fun endpoint(id: String, address: String = "10.0.0.${id.first() - 'a' + 1}:80", startedAt: Long? = null) =
        RegisteredEndpoint(id, "s", address, "dc", slots = 4, isDraining = false, startedAt, emptyMap())
}
