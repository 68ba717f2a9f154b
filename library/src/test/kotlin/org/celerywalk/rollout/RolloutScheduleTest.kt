package org.celerywalk.rollout

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a wrong verdict, too many requests to a bad version, and a status that is late or changes. */
class RolloutScheduleTest {
    @Test
    fun `a good version is completed by the deadline, whatever happens to the fleet`() {
        val schedules = listOf(CALM, ROUGH, CALM.copy(disruption = 0.5), ROUGH.copy(disruption = 0.2))
        val runs = schedules.flatMap { faults -> run(VersionFault(), faults) }
        val wrong = runs.count { it.outcome != RolloutPhase.COMPLETED }
        println("false rollbacks: $wrong of ${runs.size}")
        assertTrue(wrong <= MAX_FALSE_ROLLBACKS, "$wrong of ${runs.size} good versions were not completed")
        runs.filter { it.outcome == RolloutPhase.COMPLETED }.forEach(::checkStatus)
        runs.forEach(::checkCanaryShare)
    }

    @Test
    fun `a bad version is rolled back and gets few requests`() {
        val bad = listOf(
            VersionFault(share = 1.0),
            VersionFault(share = 0.3),
            VersionFault(share = 0.3, from = 15.seconds),
            VersionFault(share = 0.5, route = "rare"),
            VersionFault(share = 0.5, isSlow = true),
            VersionFault(share = 0.5, onlyUnderLoad = true),
        )
        val runs = bad.flatMap { fault -> listOf(CALM, ROUGH).flatMap { faults -> run(fault, faults) } }
        val missed = runs.count { it.outcome != RolloutPhase.ROLLED_BACK }
        println("missed bad versions: $missed of ${runs.size}")
        assertTrue(missed * MISSED_PER <= runs.size, "$missed of ${runs.size} bad versions were not rolled back")
        runs.forEach(::checkStatus)
        runs.forEach { run -> checkExposure(run) }
    }

    // While the version is promoted there are no requests to old replicas to compare with: a disruption of the fleet
    // then counts against the version, which is the safe side. The number is stated, not asserted.
    @Test
    fun `a disruption while promoting ends in one status, in time`() {
        val runs = run(VersionFault(), CALM.copy(disruption = 0.5, isDisruptedLate = true))
        println("rollbacks in a disruption while promoting: ${runs.count { it.outcome != RolloutPhase.COMPLETED }}")
        runs.forEach(::checkStatus)
    }

    private fun run(fault: VersionFault, faults: FleetFaults) =
        (1..SEEDS).map { SimulatedRollout(FIRST_SEED + it, fault, faults).run() }

    private fun checkStatus(run: SimulatedRollout) {
        assertTrue(run.finishedAt <= SimulatedRollout.DURATION, "status was written at ${run.finishedAt}")
        assertEquals(1, run.finalWrites.distinct().size, "${run.finalWrites}")
    }

    // The share is kept at each moment, since a fault may begin at any.
    private fun checkCanaryShare(run: SimulatedRollout) {
        var canary = 0
        run.sent.forEachIndexed { index, sent ->
            if (sent.isCanary) canary++
            val limit = (index + 1) * SimulatedRollout.SHARE
            assertTrue(canary <= limit, "$canary of ${index + 1} requests reached the version before its promotion")
        }
    }

    private fun checkExposure(run: SimulatedRollout) {
        val sent = run.sent.filter { it.at <= SimulatedRollout.DURATION }
        val new = sent.filter { it.arm == RolloutArm.NEW }
        val limit = sent.size * SimulatedRollout.SHARE + SimulatedRollout.SLACK
        assertTrue(new.size <= limit, "${new.size} of ${sent.size} requests reached the bad version")
        val fiftieth = new.filter { it.isBad }.getOrNull(49)?.at ?: return
        val last = new.last().at
        assertTrue(last - fiftieth <= 5.seconds, "a request $last after the order, 50th bad response $fiftieth")
    }

    private companion object {
        const val FIRST_SEED = 7100
        const val SEEDS = 100
        const val MAX_FALSE_ROLLBACKS = 1
        const val MISSED_PER = 100
        val CALM = FleetFaults()
        val ROUGH = FleetFaults(lostMessages = 0.3, restarts = true, outages = true)
    }
}
