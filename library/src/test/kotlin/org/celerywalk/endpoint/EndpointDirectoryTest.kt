package org.celerywalk.endpoint

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against work for endpoints that are gone, and against losing those whose registration lapsed. */
class EndpointDirectoryTest {
    private val time = TestTimeSource()
    private val directory = EndpointDirectory(time, outageAfter = 3.seconds, returnTime = 2.seconds)

    @Test
    fun `a missing endpoint is gone while the registry is read without a pause`() {
        directory.read(listOf(endpoint("a"), endpoint("b")))
        time += 1.seconds
        val change = directory.read(listOf(endpoint("a")))
        assertEquals(listOf("b"), change.removed.map { it.id })
        assertEquals(listOf("a"), directory.serving("s").map { it.id })
    }

    @Test
    fun `registrations that lapsed in an outage have time to return`() {
        directory.read(listOf(endpoint("a"), endpoint("b")))
        time += 10.seconds
        directory.read(listOf(endpoint("a")))
        assertEquals(listOf("a", "b"), directory.serving("s").map { it.id }.sorted())
        time += 1.seconds
        directory.read(listOf(endpoint("a")))
        assertEquals(2, directory.serving("s").size)
        time += 1.5.seconds
        directory.read(listOf(endpoint("a")))
        assertEquals(listOf("a"), directory.serving("s").map { it.id })
    }

    @Test
    fun `an endpoint that is leaving takes no work`() {
        directory.read(listOf(endpoint("a")))
        val change = directory.read(listOf(endpoint("a").copy(leaving = true)))
        assertEquals(listOf("a"), change.left.map { it.id })
        assertEquals(emptyList(), directory.serving("s"))
    }

    @Test
    fun `an endpoint whose address has passed to a later start is gone`() {
        directory.read(listOf(endpoint("a", "10.0.0.1:80", 1_000), endpoint("b", "10.0.0.2:80", 1_000)))
        val change = directory.read(
            listOf(
                endpoint("a", "10.0.0.1:80", 1_000),
                endpoint("b", "10.0.0.2:80", 1_000),
                endpoint("a2", "10.0.0.1:80", 9_000),
            ),
        )
        assertEquals(listOf("a"), change.removed.map { it.id })
        assertEquals(listOf("a2", "b"), directory.serving("s").map { it.id }.sorted())
    }

    @Test
    fun `a registration that has not returned after an outage doesn't outlive a later start at its address`() {
        directory.read(listOf(endpoint("a", "10.0.0.1:80", 1_000)))
        time += 10.seconds
        directory.read(listOf(endpoint("a2", "10.0.0.1:80", 9_000)))
        assertEquals(listOf("a2"), directory.serving("s").map { it.id })
    }

    @Test
    fun `an entry of another writer for the address of an endpoint doesn't displace it`() {
        val foreign = endpoint("x", "10.0.0.1:80", 9_000).copy(service = "nobody's")
        directory.read(listOf(endpoint("a", "10.0.0.1:80", 1_000), foreign))
        assertEquals(listOf("a"), directory.serving("s").map { it.id })
    }

    @Test
    fun `endpoints at one address that don't say when they started are all kept`() {
        directory.read(listOf(endpoint("a", "10.0.0.1:80", null), endpoint("a2", "10.0.0.1:80", 9_000)))
        assertEquals(2, directory.serving("s").size)
    }

    private fun endpoint(id: String, address: String = "10.0.0.${id.first() - 'a' + 1}:80", startedAt: Long? = null) =
        RegisteredEndpoint(id, "s", address, "dc", slots = 4, leaving = false, startedAt, emptyMap())
}
