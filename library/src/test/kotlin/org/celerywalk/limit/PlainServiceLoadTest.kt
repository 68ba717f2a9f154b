package org.celerywalk.limit

import org.celerywalk.limit.PlainServiceModel.Companion.TARGET
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Compares the gate with sending each call at once, on the same seeds. Loads: 50 to 200 % of the capacity, one of
 * three replicas six times slower, two of three replicas lost; replicas that reject excess calls or let them wait.
 *
 * Guards against a gate that wastes capacity, serves urgent calls less often than others, or tells callers to return at
 * the same moment.
 */
class PlainServiceLoadTest {
    private class Comparison(val before: List<PlainResult>, val gated: List<PlainResult>) {
        val goodputBefore get() = before.sumOf { it.goodput }
        val goodput get() = gated.sumOf { it.goodput }
    }

    @Test
    fun `goodput at 200 percent of the capacity is within a tenth of its peak`() {
        listOf(true, false).forEach { rejectsExcess ->
            val goodputs = LOADS.map { compare(PlainLoad(it, rejectsExcess = rejectsExcess)).goodput }
            assertTrue(goodputs.last() >= 0.9 * goodputs.max(), "$rejectsExcess $goodputs")
        }
    }

    @Test
    fun `goodput with replicas that reject excess calls is no lower than with calls sent at once`() {
        LOADS.forEach { load ->
            val result = compare(PlainLoad(load))
            assertTrue(result.goodput >= 0.97 * result.goodputBefore, "$load ${result.goodput} ${result.goodputBefore}")
        }
    }

    @Test
    fun `goodput with replicas that let excess calls wait does not collapse beyond the capacity`() {
        val result = compare(PlainLoad(1.5, rejectsExcess = false))
        assertTrue(result.goodput >= 10 * result.goodputBefore, "${result.goodput} ${result.goodputBefore}")
    }

    @Test
    fun `rejections by replicas fall to a tenth at 150 percent`() {
        val result = compare(PlainLoad(1.5))
        assertTrue(result.gated.sumOf { it.rejections } * 10 <= result.before.sumOf { it.rejections })
    }

    @Test
    fun `nearly all calls are served at once at half of the capacity`() {
        compare(PlainLoad(0.5)).gated.forEach {
            assertTrue(it.refused * 1_000 <= it.offered.sum(), "${it.refused}")
            assertTrue(it.percentile(0.99) <= 100.milliseconds, "${it.percentile(0.99)}")
        }
    }

    @Test
    fun `urgent calls are served more often than others beyond the capacity`() {
        compare(PlainLoad(2.0)).gated.forEach {
            val (urgent, others) = List(PlainResult.RANKS) { rank -> it.good[rank].toDouble() / it.offered[rank] }
            assertTrue(urgent >= 0.85 && urgent > others, "$urgent $others")
        }
    }

    @Test
    fun `a slow replica gets few calls`() {
        listOf(true, false).forEach { rejectsExcess ->
            val result = compare(PlainLoad(0.6, listOf(6.0, 1.0, 1.0), rejectsExcess = rejectsExcess))
            result.gated.map { it.sentByReplica.toList() }
                .forEach { sent -> assertTrue(sent[0] * 10 <= sent[1], "$sent") }
            assertTrue(result.goodput >= 0.97 * result.goodputBefore, "${result.goodput} ${result.goodputBefore}")
        }
    }

    @Test
    fun `the last of three replicas is used fully after the loss of the others`() {
        listOf(true to 0.97, false to 1.5).forEach { (rejectsExcess, minRatio) ->
            val result = compare(PlainLoad(0.6, lostReplicas = 2, rejectsExcess = rejectsExcess))
            assertTrue(result.goodput >= minRatio * result.goodputBefore, "${result.goodput} ${result.goodputBefore}")
        }
    }

    @Test
    fun `refused calls are told spread times and no call waits longer than half of the latency target`() {
        compare(PlainLoad(2.0)).gated.forEach {
            val busiest = it.retryTimes.groupingBy { time -> time.inWholeMilliseconds / 100 }.eachCount().values.max()
            assertTrue(busiest * 4 <= it.retryTimes.size, "$busiest of ${it.retryTimes.size}")
            assertTrue(it.retryTimes.all { time -> time in 100.milliseconds..3.seconds })
            assertTrue(it.longestWait <= TARGET / 2 + RECHECK, "${it.longestWait}")
        }
    }

    private fun compare(load: PlainLoad) = Comparison(
        SEEDS.map { PlainServiceModel(load, it, isGated = false).run() },
        SEEDS.map { PlainServiceModel(load, it, isGated = true).run() },
    )

    private companion object {
        val SEEDS = 1..3
        val LOADS = listOf(0.5, 0.8, 1.0, 1.25, 1.5, 2.0)

        // Waiting calls are checked at this interval.
        val RECHECK = 25.milliseconds
    }
}
