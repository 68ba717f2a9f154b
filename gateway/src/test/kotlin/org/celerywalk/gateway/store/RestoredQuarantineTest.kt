package org.celerywalk.gateway.store

import org.celerywalk.gateway.FollowedStore
import org.celerywalk.gateway.StoreRows
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.quarantine.QuarantineDecision
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against quarantined parts that are lost, or come back, when the store is restored from an older copy. */
class RestoredQuarantineTest {
    private val followed = FollowedStore()
    private val store = followed.store
    private val quarantine = followed.state.quarantine
    private val quarantineSync = QuarantineSync(followed.state, followed.table, followed.log) { emptySet() }

    @AfterEach
    fun close() {
        quarantineSync.close()
        followed.close()
    }

    // Failure: the part counts as stored, although the copy lacks it.
    @Test
    fun `a quarantined part that the store has lost is written again`() {
        val copy = store.snapshot()
        storeQuarantined()
        store.restore(copy)
        awaitUntil { store.keys("quarantine") == setOf("dead") }
    }

    // Failure: the part counts as removed, although the copy holds it, and each gateway that starts later refuses it.
    @Test
    fun `a part that was cleared does not come back from the older copy`() {
        storeQuarantined()
        val copy = store.snapshot()
        quarantine.recordAnswer("sound-endpoint", listOf("dead"))
        awaitUntil { store.keys("quarantine").isEmpty() }
        store.restore(copy)
        awaitUntil {
            assertIs<QuarantineDecision.Admitted>(quarantine.check(listOf("dead")) { false })
            store.keys("quarantine").isEmpty()
        }
        assertIs<QuarantineDecision.Admitted>(quarantine.check(listOf("dead")) { false })
    }

    // Failure: only the newest crashes that the gateway has written count, not those that the copy holds.
    @Test
    fun `a row of which the copy holds an older version is written again`() {
        storeQuarantined()
        val copy = store.snapshot()
        quarantine.recordCrash("i-3", listOf("dead"))
        awaitUntil { "i-3" in storedText("dead") }
        store.restore(copy)
        awaitUntil { "i-3" in storedText("dead") }
    }

    // Failure: the part counts as cleared, and is removed from the table, since this gateway does not know of it.
    @Test
    fun `a part that only a peer has quarantined stays in the table and is taken over`() {
        followed.sync.start()
        quarantineSync.start()
        awaitUntil { store.readCount("quarantine") == 1 }
        store.put("quarantine", "dead", "i-1 0\ni-2 0")
        store.restore(store.snapshot())
        awaitUntil { store.readCount("quarantine") == 2 }
        // The table is compared with the known parts once a second.
        val observedUntil = TimeSource.Monotonic.markNow() + 2.seconds
        awaitUntil {
            assertEquals(setOf("dead"), store.keys("quarantine"))
            observedUntil.hasPassedNow()
        }
        assertIs<QuarantineDecision.Refused>(quarantine.check(listOf("dead")) { false })
    }

    private fun storedText(part: String) =
        store.snapshot().find(StoreRows.Key("quarantine", part))?.value.orEmpty()

    private fun storeQuarantined() {
        // The quarantine calls the store only for changes; as in a gateway, other reads show that it was restored.
        followed.sync.start()
        quarantineSync.start()
        listOf("i-1", "i-2").forEach { quarantine.recordCrash(it, listOf("dead")) }
        awaitUntil { store.keys("quarantine") == setOf("dead") }
    }
}
