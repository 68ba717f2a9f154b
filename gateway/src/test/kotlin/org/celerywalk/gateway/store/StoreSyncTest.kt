package org.celerywalk.gateway.store

import okhttp3.OkHttpClient
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.awaitUntil
import org.celerywalk.gateway.testSettings
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against configurations that are not adopted in time, or not at all, since their transfer takes long. */
class StoreSyncTest {
    private val store = StoreStandIn()
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
    private val settings = testSettings().let { it.copy(bounds = it.bounds.copy(keyWithdrawal = 5.seconds)) }
    private val state = FleetState(settings, SuspendAwareTimeSource(), { 1 }, { 1.0 })
    private val table = PlatformTable(PlatformCalls(OkHttpClient()), store.address)
    private val sync = StoreSync(state, table, log, object : StoreEvents {})

    @AfterEach
    fun close() {
        sync.close()
        store.close()
    }

    @Test
    fun `a configuration whose transfer takes longer than a call should be silent is adopted and confirmed`() {
        putConfiguration(version = 1, routes = 2_000)
        store.bytesPerSecond = 200_000
        sync.start()
        await { version() == 1L }
        putConfiguration(version = 2, routes = 2_000)
        await { version() == 2L }
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
    }

    @Test
    fun `a configuration is transferred once for each change, also while it is confirmed`() {
        putConfiguration(version = 1, routes = 3)
        sync.start()
        await { version() == 1L }
        val confirmedUntil = TimeSource.Monotonic.markNow() + 4.seconds
        await { confirmedUntil.hasPassedNow() }
        assertTrue(state.confirmation.isWithin(CONFIRMATION_LIMIT), "${state.confirmation.age()}")
        assertEquals(1, store.transfers.getValue("config").get())
        putConfiguration(version = 2, routes = 3)
        await { version() == 2L }
        assertEquals(2, store.transfers.getValue("config").get())
    }

    @Test
    fun `versions that follow each other quickly over a slow link do not keep the newest from being adopted`() {
        putConfiguration(version = 1, routes = 1_000)
        sync.start()
        await { version() == 1L }
        store.bytesPerSecond = 400_000
        (2..13).forEach { version ->
            putConfiguration(version, routes = 1_000)
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(330))
        }
        val changedAt = TimeSource.Monotonic.markNow()
        await { version() == 13L }
        assertTrue(changedAt.elapsedNow() < 2.seconds, "in force after ${changedAt.elapsedNow()}")
        assertTrue(state.confirmation.isWithin(CONFIRMATION_LIMIT), "${state.confirmation.age()}")
    }

    /** Guards against API keys that are refused at a gateway that reads changes later than its peers. */
    @Test
    fun `a gateway on a slow link confirms the configuration while its peers are ahead`() {
        putConfiguration(version = 1, routes = 500)
        sync.start()
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        store.bytesPerSecond = 280_000
        (2..20).forEach { version ->
            putConfiguration(version, routes = 500)
            state.recordPeerConfiguration(version.toLong())
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(333))
            assertTrue(state.confirmation.isWithin(4.seconds), "${state.confirmation.age()}")
        }
    }

    /** Guards against a poll that returns at once, again and again, with the same removal. */
    @Test
    fun `a row that was removed is reported once`() {
        putConfiguration(version = 1, routes = 3)
        store.put("op", "version/m", """{"model":"m","version":1}""")
        sync.start()
        await { version() == 1L }
        store.remove("op", "version/m")
        val callsBefore = store.feedCalls.get()
        val observedUntil = TimeSource.Monotonic.markNow() + 3.seconds
        await { observedUntil.hasPassedNow() }
        // A poll waits for a second if nothing has changed.
        assertTrue(store.feedCalls.get() - callsBefore <= 6, "${store.feedCalls.get() - callsBefore} calls in 3 s")
        putConfiguration(version = 2, routes = 3)
        await { version() == 2L }
    }

    @Test
    fun `a change that the store has discarded from its history is adopted`() {
        putConfiguration(version = 1, routes = 3)
        sync.start()
        await { version() == 1L }
        store.isUp = false
        putConfiguration(version = 2, routes = 3)
        store.forgetHistory()
        store.isUp = true
        await { version() == 2L }
    }

    @Test
    fun `a confirmation ends while the store is away and comes back with it`() {
        putConfiguration(version = 1, routes = 3)
        sync.start()
        await { version() == 1L }
        store.isUp = false
        await { !state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        store.isUp = true
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
    }

    /** Guards against API keys that are refused, since unreadable weights leave the configuration unconfirmed. */
    @Test
    fun `an unreadable announcement of weights does not keep the configuration from being followed and confirmed`() {
        putConfiguration(version = 1, routes = 3)
        store.put("op", "version/odd", """{"model":"odd","version":99999999999999999999}""")
        store.put("op", "version/m", """{"model":"m","version":3}""")
        sync.start()
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        store.put("op", "version/odd", "[".repeat(1_000))
        putConfiguration(version = 2, routes = 3)
        await { version() == 2L }
        val observedUntil = TimeSource.Monotonic.markNow() + 6.seconds
        await { observedUntil.hasPassedNow() }
        assertTrue(state.confirmation.isWithin(CONFIRMATION_LIMIT), "${state.confirmation.age()}")
        assertEquals(3, state.weightHistoryOf("m").newestVersion)
        assertEquals(2, store.transfers.getValue("version/odd").get(), "transfers of the row")
    }

    /** Pattern: many gateways whose calls to the store would all ask the same. */
    @Test
    fun `a gateway that does not watch the store polls it only for news of a peer or an old confirmation`() {
        val follower = StoreSync(state, table, log, Follower)
        follower.use {
            putConfiguration(version = 1, routes = 3)
            it.start()
            await { version() == 1L }
            val callsBefore = store.feedCalls.get()
            val confirmedUntil = TimeSource.Monotonic.markNow() + 4.seconds
            await {
                state.confirmation.confirm(state.timeSource.markNow())
                confirmedUntil.hasPassedNow()
            }
            assertEquals(callsBefore, store.feedCalls.get())
            putConfiguration(version = 2, routes = 3)
            it.readSoon()
            await { version() == 2L }
            putConfiguration(version = 3, routes = 3)
            await { version() == 3L }
        }
    }

    private object Follower : StoreEvents {
        override fun isWatcher(): Boolean = false
    }

    private fun version() = state.activeConfiguration?.configuration?.version

    private fun putConfiguration(version: Int, routes: Int) {
        val routeTexts = List(routes) {
            """{"name":"r$it","hostname":"h","prefix":"/route-$it/","type":"idempotent","backend":"s","timeout_ms":5000,
                "max_attempts":2}"""
        }
        store.put("op", "config", """{"version":$version,"routes":[${routeTexts.joinToString(",")}],"services":[]}""")
    }

    private fun await(condition: () -> Boolean) =
        awaitUntil({ "version ${version()}, confirmed ${state.confirmation.age()} ago" }, condition)

    private companion object {
        // Key withdrawal bound less the margin of Admission.
        val CONFIRMATION_LIMIT = 4_700.milliseconds
    }
}
