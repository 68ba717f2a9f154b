package org.celerywalk.gateway.store

import org.celerywalk.gateway.FollowedStore
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.awaitUntil
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against operators' changes that are missed, late or confirmed wrongly after the store was restored. */
class RestoredOperatorsTest {
    private val followed = FollowedStore()
    private val store = followed.store
    private val state = followed.state
    private val sync = followed.sync

    @AfterEach
    fun close() = followed.close()

    // Failure: the row is skipped, since its version equals that of the configuration applied before the return.
    @Test
    fun `a configuration whose row has the same version as the one applied before the return is adopted`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putConfiguration(version = 2)
        sync.start()
        await { version() == 2L }
        store.atOnce {
            restore(copy)
            putConfiguration(version = 3)
        }
        await { version() == 3L }
    }

    // Failure: the feed reports only changes after the known version, which the store has given out again.
    @Test
    fun `weights that were announced below the feed position after the return are known`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putWeights(version = 1)
        putWeights(version = 2)
        sync.start()
        await { newestWeights() == 2 }
        store.atOnce {
            restore(copy)
            putWeights(version = 3)
            repeat(3) { put("servers", "i-0", "heartbeat $it") }
        }
        await { newestWeights() == 3 }
    }

    // Failure: a feed without changes confirms the active configuration, which the store does not hold any more.
    @Test
    fun `a configuration that is newer than that of the store stays in force and is not confirmed`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putConfiguration(version = 2)
        sync.start()
        await { version() == 2L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        store.atOnce {
            restore(copy)
            repeat(2) { put("servers", "i-0", "heartbeat $it") }
        }
        await { !state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        assertEquals(2, version())
        putConfiguration(version = 2)
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        assertEquals(2, version())
    }

    // Failure: a read of the older copy counts as a confirmation, although a newer configuration may have been lost.
    @Test
    fun `reads of a copy that has just come back do not confirm the configuration`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putWeights(version = 1)
        sync.start()
        await { newestWeights() == 1 && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        assertNoConfirmationAfterReturn { store.restore(copy) }
    }

    // Failure: while the store's configuration is older than the active one, the whole table is read once a second.
    @Test
    fun `a change is in force in time while the store still holds an older configuration`() {
        putConfiguration(version = 1, routes = 1_000)
        val copy = store.snapshot()
        putConfiguration(version = 2, routes = 1_000)
        putWeights(version = 1)
        sync.start()
        await { version() == 2L && newestWeights() == 1 }
        val transfersBefore = configurationTransfers()
        // A transfer of the configuration takes about 0.7 s, so that a change between two reads is late.
        store.bytesPerSecond = 280_000
        store.restore(copy)
        val restoredAt = TimeSource.Monotonic.markNow()
        // The change comes when a repeated read has just begun, or after the time in which one would have.
        await { configurationTransfers() >= transfersBefore + 2 || restoredAt.elapsedNow() > 5.seconds }
        // The row of the configuration gets another version than before the return.
        store.put("servers", "i-0", "heartbeat")
        putConfiguration(version = 3, routes = 1_000)
        val changedAt = TimeSource.Monotonic.markNow()
        await { version() == 3L }
        assertTrue(changedAt.elapsedNow() < CHANGE_BOUND, "in force after ${changedAt.elapsedNow()}")
    }

    // Failure: the process has not seen the return, and confirms the older configuration with keys withdrawn since.
    @Test
    fun `a gateway that starts between the return and the rewriting does not confirm the older configuration`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putConfiguration(version = 2)
        store.restore(copy)
        val startedAt = state.timeSource.markNow()
        sync.start()
        await {
            if (startedAt.elapsedNow() < REWRITE_TIME) assertNull(state.confirmation.age())
            startedAt.elapsedNow() >= REWRITE_TIME
        }
        putConfiguration(version = 2)
        await { version() == 2L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
    }

    // Failure: the time for the rewriting counts from the start of the process, while the store was still away.
    @Test
    fun `a gateway that starts while the store is away does not confirm the older configuration`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putConfiguration(version = 2)
        store.loss = StoreStandIn.Loss.REQUEST
        sync.start()
        awaitElapsed(REWRITE_TIME + 500.milliseconds)
        store.restore(copy)
        store.loss = StoreStandIn.Loss.NONE
        awaitElapsed(REWRITE_TIME) { assertNull(state.confirmation.age()) }
        putConfiguration(version = 2)
        await { version() == 2L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
    }

    // Failure: the time for the rewriting counts from a response that says the store is unavailable.
    @Test
    fun `a store that announces its return before it serves is not taken for one that is written again`() {
        putConfiguration(version = 1)
        val copy = store.snapshot()
        putWeights(version = 1)
        sync.start()
        await { newestWeights() == 1 && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        assertNoConfirmationAfterReturn {
            store.atOnce {
                isUp = false
                restore(copy)
            }
            awaitElapsed(REWRITE_TIME + 1.seconds)
            store.isUp = true
        }
    }

    // Failure: the row counts as written again, since its version differs from that of the era before.
    @Test
    fun `a configuration does not count as written again if the copy was made two eras ago`() {
        putConfiguration(version = 1)
        val oldest = store.snapshot()
        // The first return makes the row's version another one.
        store.put("servers", "i-0", "heartbeat")
        putConfiguration(version = 2)
        val copy = store.snapshot()
        sync.start()
        await { version() == 2L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        val returnedAt = state.timeSource.markNow()
        store.atOnce {
            restore(oldest)
            putConfiguration(version = 2)
        }
        await { checkNotNull(state.confirmation.age()) < returnedAt.elapsedNow() }
        assertTrue(returnedAt.elapsedNow() < REWRITE_TIME, "confirmed after ${returnedAt.elapsedNow()}")
        assertNoConfirmationAfterReturn { store.restore(copy) }
    }

    // Failure: the row counts as written again, since the gateway has not read it in the era before.
    @Test
    fun `a configuration does not count as written again if the gateway has missed an era`() {
        putConfiguration(version = 1)
        val oldest = store.snapshot()
        store.put("servers", "i-0", "heartbeat")
        putConfiguration(version = 2)
        sync.start()
        await { version() == 2L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        store.loss = StoreStandIn.Loss.REQUEST
        store.restore(oldest)
        putConfiguration(version = 2)
        assertNoConfirmationAfterReturn {
            store.restore(store.snapshot())
            store.loss = StoreStandIn.Loss.NONE
        }
    }

    // Failure: the transfer of the older copy ends after the time for the rewriting, and its content comes into force.
    @Test
    fun `an earlier content of the same version is not adopted from a read that was sent before the rewriting`() {
        putConfiguration(version = 1)
        val oldest = store.snapshot()
        putConfiguration(version = 2, routes = 1_000)
        val copy = store.snapshot()
        store.restore(oldest)
        putConfiguration(version = 2, routes = 2)
        sync.start()
        await { version() == 2L }
        // The copy takes about 3 s, after which the content in force has been written again.
        store.bytesPerSecond = 70_000
        store.restore(copy)
        awaitElapsed(REWRITE_TIME)
        putConfiguration(version = 2, routes = 2)
        awaitElapsed(REWRITE_TIME) { assertEquals(2, state.activeConfiguration?.configuration?.routes?.size) }
    }

    // Failure: the first poll that can confirm waits for a change first, and keys are refused for longer.
    @Test
    fun `a return that has lost no change is confirmed as soon as the time for the rewriting has passed`() {
        putConfiguration(version = 1)
        sync.start()
        await { version() == 1L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        val returnedAt = state.timeSource.markNow()
        store.restore(store.snapshot())
        await { checkNotNull(state.confirmation.age()) < returnedAt.elapsedNow() }
        val era = followed.table.era
        assertTrue(era.servingFor < REWRITE_TIME + 400.milliseconds, "confirmed after ${era.servingFor}")
    }

    // Failure: responses of the new era without its number count as ones of the era before.
    @Test
    fun `responses that do not tell their era confirm nothing`() {
        putConfiguration(version = 1)
        sync.start()
        await { version() == 1L && state.confirmation.isWithin(CONFIRMATION_LIMIT) }
        assertNoConfirmationAfterReturn {
            store.atOnce {
                reportsEra = false
                restore(store.snapshot())
            }
            awaitElapsed(3.seconds)
            store.reportsEra = true
        }
    }

    private fun assertNoConfirmationAfterReturn(restore: () -> Unit) {
        val restoredAt = state.timeSource.markNow()
        restore()
        awaitElapsed(REWRITE_TIME) {
            val elapsed = restoredAt.elapsedNow()
            val age = checkNotNull(state.confirmation.age())
            assertTrue(age >= elapsed, "confirmed ${elapsed - age} after the return")
        }
        await { state.confirmation.isWithin(CONFIRMATION_LIMIT) }
    }

    private fun version() = state.activeConfiguration?.configuration?.version

    private fun newestWeights() = state.weightHistoryOf("m").newestVersion

    private fun configurationTransfers() = store.transfers["config"]?.get() ?: 0

    private fun putConfiguration(version: Int, routes: Int = 1) {
        val routeTexts = List(routes) {
            """{"name":"r$it","hostname":"h","prefix":"/route-$it/","type":"idempotent","backend":"s","timeout_ms":5000,
                "max_attempts":2}"""
        }
        store.put("op", "config", """{"version":$version,"routes":[${routeTexts.joinToString(",")}],"services":[]}""")
    }

    private fun putWeights(version: Int) = store.put("op", "version/m", """{"model":"m","version":$version}""")

    private fun awaitElapsed(duration: Duration, check: () -> Unit = {}) {
        val beganAt = TimeSource.Monotonic.markNow()
        await {
            check()
            beganAt.elapsedNow() >= duration
        }
    }

    private fun await(condition: () -> Boolean) = awaitUntil(
        { "version ${version()}, weights ${newestWeights()}, confirmed ${state.confirmation.age()} ago" },
        condition,
    )

    private companion object {
        val CHANGE_BOUND = 2.seconds

        // A confirmation by the feed counts from 1 s before its call, which may wait for a second.
        val CONFIRMATION_LIMIT = 3.seconds

        // What the store has lost is written again within about this time.
        val REWRITE_TIME = 2.seconds
    }
}
