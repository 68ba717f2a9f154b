package org.celerywalk.bench.admission

import kotlin.test.Test
import kotlin.test.assertTrue

/** Compares admission with the treatment before it, on the same seeds, in a model of gateways and replicas. */
class AdmissionSimulationTest {
    private val treatments = Treatment.entries.filter { it.hasAdmission }

    /** Load: cheap long prompts of one account beside urgent short ones and a steady account, 100 to 200 %. */
    @Test
    fun `a burst of long prompts takes only what urgent requests and other accounts leave`() {
        for (load in listOf(1.0, 1.5, 2.0)) {
            val before = measure(Mix.BURST, load, Treatment.BEFORE)
            for (treatment in treatments) {
                val after = measure(Mix.BURST, load, treatment)
                val figures = "$treatment at $load: ${after.share("steady")}, ${after.share("burst")}"
                assertTrue(after.share(kind = Kind.SHORT)!! >= 0.97, figures)
                assertTrue(after.share("steady")!! > after.share("burst")!!, figures)
                assertTrue(after.valuePerSecond >= before.valuePerSecond, figures)
            }
        }
    }

    /** Load: three hot accounts of different size and a small one, 100 to 200 %. */
    @Test
    fun `several hot accounts leave the small one its urgent requests and starve none`() {
        for (load in listOf(1.0, 1.5, 2.0)) {
            for (treatment in treatments) {
                val after = measure(Mix.HOT_ACCOUNTS, load, treatment)
                val short = listOf("small", "c", "b", "a").map { after.share(it, Kind.SHORT)!! }
                val figures = "$treatment at $load: $short"
                assertTrue(short.first() >= 0.95 && short.first() >= short.last(), figures)
                assertTrue(short.min() >= 0.8, figures)
                // At 200 % urgent prompts take 80 % of the capacity, so a long one takes 2.2 s if it starts at once.
                val long = listOf("a", "b", "c").map { after.share(it, Kind.LONG)!! }
                assertTrue(load == 2.0 || long.all { it > 0.0 }, "$figures, $long")
            }
        }
    }

    /**
     * Load: every mix at 50, 100, 150 and 200 %.
     *
     * The estimate of all prompts counts none that are late, so it says nothing once urgent requests alone exceed the
     * capacity. That case needs the estimate by rank.
     */
    @Test
    fun `goodput at 200 percent is within a tenth of its peak, and urgent kinds are served first`() {
        for (mix in Mix.entries) {
            for (treatment in treatments.filter { mix != Mix.URGENT || it.estimatesByRank }) {
                val runs = listOf(0.5, 1.0, 1.5, 2.0).map { measure(mix, it, treatment) }
                val values = runs.map { it.valuePerSecond }
                assertTrue(values.last() >= 0.9 * values.max(), "$mix $treatment: $values")
                runs.forEach { run ->
                    val shares = Kind.entries.map { run.share(kind = it)!! }
                    assertTrue(shares.first() >= shares.last(), "$mix $treatment: $shares")
                }
            }
        }
    }

    private fun measure(mix: Mix, load: Double, treatment: Treatment) =
        AdmissionComparison(gateways = 24, seeds = 1).measure(mix, load, treatment)
}
