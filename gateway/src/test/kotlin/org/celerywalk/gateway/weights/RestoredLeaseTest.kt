package org.celerywalk.gateway.weights

import org.celerywalk.gateway.StoreRows
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.testSettings
import org.junit.jupiter.api.AfterEach
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against weight orders of two gateways with one fencing token, or at nearly the same time, after the store has
 * come back from a copy without the newest write of the lease.
 */
class RestoredLeaseTest {
    private val fleet = LeaseFleet(listOf("a", "b", "c"))
    private val store = fleet.store

    @AfterEach
    fun close() = fleet.close()

    // Failure: the copy has no lease, so that the first fencing token is given out again at once.
    @Test
    fun `a lease that the copy lacks is taken over under a new fencing token after the lease time`() {
        grantAcrossReturn(first = "a", second = "b")
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    // Failure: the successor of the older holder gets the fencing token of the holder that the copy lacks.
    @Test
    fun `a lease of which the copy has an older holder is taken over under a new fencing token after the lease time`() {
        fleet.requestUntilGranted("c")
        grantAcrossReturn(first = "a", second = "b")
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    // Failure: the renewal replaces another holder's row that has the version of the own row before the return.
    @Test
    fun `a renewal does not take the lease from a holder whose row got the same version`() {
        grantAcrossReturn(first = "a", second = "b")
        repeat(20) {
            fleet.time += 100.milliseconds
            fleet.request("a")
            fleet.request("b")
        }
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    // Failure: the older renewal in the copy lets the lease appear abandoned while its holder still sends orders.
    @Test
    fun `a lease that was renewed after the copy was made is not taken over within the lease time`() {
        fleet.requestUntilGranted("a")
        val copy = store.snapshot()
        repeat(10) {
            fleet.time += 1.seconds
            fleet.requestUntilGranted("a")
        }
        store.restore(copy)
        fleet.requestUntilGranted("b")
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    // Failure: the fencing token was chosen by a row from before the return, and its version has been given out again.
    @Test
    fun `a lease that was read before the return and written after it is not held under an old token`() {
        fleet.requestUntilGranted("c")
        val copy = store.snapshot()
        fleet.time += 6.seconds
        store.beforeTransaction.set {
            fleet.requestUntilGranted("b")
            store.restore(copy)
        }
        fleet.requestUntilGranted("a")
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    // Failure: the lease of the earlier era is held in the next one, and renewed until another gateway replaces it.
    @Test
    fun `a lease whose era ends as its write returns is not held in the next`() {
        fleet.onLogLine = {
            if (store.keys("leases").isNotEmpty()) {
                fleet.onLogLine = {}
                store.restore(store.snapshot())
                fleet.callStore("a")
            }
        }
        repeat(200) {
            fleet.time += 100.milliseconds
            fleet.request("a")
            fleet.request("b")
        }
        assertEquals(emptyList(), fleet.violations(ORDER_LEASE))
    }

    @Test
    fun `no schedule of returns, cuts, pauses and restarts lets two gateways order together or with one token`() {
        val violations = (1..SEEDS).mapNotNull { seed ->
            LeaseFleet(listOf("a", "b", "c")).use { fleet ->
                Schedule(fleet, Random(seed)).play()
                fleet.violations(ORDER_LEASE).firstOrNull()?.let { "seed $seed: $it" }
            }
        }
        assertTrue(violations.isEmpty(), "${violations.size} of $SEEDS seeds:\n${violations.joinToString("\n")}")
    }

    // The store loses the grant of [first] before [second] asks for one.
    private fun grantAcrossReturn(first: String, second: String) {
        val copy = store.snapshot()
        fleet.requestUntilGranted(first)
        store.restore(copy)
        fleet.requestUntilGranted(second)
    }

    /** Faults of the store, the gateways and their calls, drawn from [random]. */
    private class Schedule(private val fleet: LeaseFleet, private val random: Random) {
        private class Copy(val madeAt: Duration, val rows: StoreRows)

        private val instances = listOf("a", "b", "c")
        private val copies = ArrayList<Copy>()
        private val pausedUntil = HashMap<String, Duration>()
        private val cutUntil = HashMap<String, Duration>()

        fun play() {
            repeat(STEPS) {
                fleet.time += random.nextInt(MAX_STEP_MILLIS).milliseconds
                copies += Copy(fleet.now, fleet.store.snapshot())
                val instance = instances.random(random)
                when (random.nextInt(100)) {
                    in 0..3 -> restore()
                    4 -> fleet.store.beforeTransaction.set(::restore)
                    in 5..6 -> fleet.restart(instance)
                    in 7..10 -> pausedUntil[instance] = fleet.now + random.nextInt(MAX_FAULT_MILLIS).milliseconds
                    in 11..14 -> cutUntil[instance] = fleet.now + random.nextInt(MAX_FAULT_MILLIS).milliseconds
                    else -> request(instance)
                }
            }
            fleet.store.loss = StoreStandIn.Loss.NONE
            fleet.store.beforeTransaction.set(null)
            val grantsBefore = fleet.grantCount
            repeat(CALM_STEPS) {
                fleet.time += 500.milliseconds
                instances.forEach(fleet::request)
            }
            check(fleet.grantCount > grantsBefore) { "no gateway holds the lease after the schedule" }
        }

        private fun restore() {
            copies.removeAll { it.madeAt < fleet.now - MAX_COPY_AGE }
            fleet.store.restore(copies.random(random).rows)
        }

        private fun request(instance: String) {
            if (fleet.now < (pausedUntil[instance] ?: Duration.ZERO)) return
            val isCut = fleet.now < (cutUntil[instance] ?: Duration.ZERO)
            fleet.store.loss = when (random.nextInt(10)) {
                0 -> StoreStandIn.Loss.RESPONSE
                1 -> StoreStandIn.Loss.REQUEST
                else -> if (isCut) StoreStandIn.Loss.REQUEST else StoreStandIn.Loss.NONE
            }
            fleet.request(instance)
        }
    }

    private companion object {
        val ORDER_LEASE = testSettings().bounds.orderLease
        const val SEEDS = 50
        const val STEPS = 120
        const val MAX_STEP_MILLIS = 1_000
        const val MAX_FAULT_MILLIS = 9_000
        val MAX_COPY_AGE = 12.seconds

        // Longer than a takeover takes, which begins with the last request of the holder before.
        const val CALM_STEPS = 40
    }
}
