package org.celerywalk.http

import org.celerywalk.limits
import org.celerywalk.platform.ListedInstance
import org.celerywalk.standins.InstanceListStandIn
import org.celerywalk.standins.ObjectStoreStandIn
import org.celerywalk.standins.WireInstance
import org.celerywalk.waitUntil
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class PlatformAdaptersTest {
    @Test
    fun `a stored object is read back, and an absent object is null instead of an error`() {
        ObjectStoreStandIn().use { standIn ->
            HttpObjectStore(standIn.url, limits).use { store ->
                store.put("configuration/7", "seven".toByteArray()).get()
                assertEquals("seven", store.get("configuration/7").get().getOrNull()?.decodeToString())
                assertEquals(null, store.get("configuration/8").get().fold({ it }, { it }))
            }
        }
    }

    @Test
    fun `a new instance appears in the list only after the lag`() {
        val agent = WireInstance("agent-1", "agent", "kyushu", "fukuoka-a", "127.0.0.1:7001")
        InstanceListStandIn(lag = 1.seconds).use { standIn ->
            HttpInstanceList(standIn.url, limits).use { list ->
                standIn.put(agent.name, agent)
                assertEquals(emptyList(), list.list().get().getOrNull())
                val listed = ListedInstance("agent-1", "agent", "kyushu", "fukuoka-a", "127.0.0.1:7001", false)
                waitUntil("the instance is listed") { list.list().get().getOrNull() == listOf(listed) }
            }
        }
    }

    @Test
    fun `an unreachable instance list is reported as an error that names the peer`() {
        val standIn = InstanceListStandIn()
        standIn.close()
        HttpInstanceList(standIn.url, limits).use { list ->
            val error = assertNotNull(list.list().get().leftOrNull())
            assertEquals("list instances" to standIn.url, error.step to error.peer)
            assertNull(list.list().get().getOrNull())
        }
    }
}
