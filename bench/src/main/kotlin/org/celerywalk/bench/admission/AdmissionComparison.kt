package org.celerywalk.bench.admission

import java.util.Locale

/** Compares the treatments of requests at several offered loads, with the same number of gateways and seeds. */
internal class AdmissionComparison(private val gateways: Int, private val seeds: Int) {
    /** Returns the counts of all seeds together. */
    fun measure(mix: Mix, load: Double, treatment: Treatment): Goodput = Goodput().apply {
        for (seed in 1..seeds) add(AdmissionSimulation(Scene(mix, load, treatment, gateways), seed).execute())
    }

    /** Returns a table of the value per second and the share of requests on time by account and kind. */
    fun toMarkdown(mix: Mix): String {
        val groups = mix.streams(1.0).map { it.account to it.kind }
        val titles = groups.map { (account, kind) -> "$account ${kind.name.lowercase()}" }
        val rows = LOADS.flatMap { load -> Treatment.entries.map { row(mix, load, it, groups) } }
        val head = listOf(
            "## ${mix.title}, $gateways gateways",
            "",
            "| load % | gateways | value/s | ${titles.joinToString(" | ")} |",
            "| ---: | --- | ---: |" + " ---: |".repeat(groups.size),
        )
        return (head + rows).joinToString("\n", postfix = "\n")
    }

    private fun row(mix: Mix, load: Double, treatment: Treatment, groups: List<Pair<String, Kind>>): String {
        val goodput = measure(mix, load, treatment)
        val shares = groups.joinToString(" | ") { (account, kind) -> percent(goodput.share(account, kind)) }
        val value = "%.0f".format(Locale.ROOT, goodput.valuePerSecond / seeds)
        return "| ${percent(load)} | ${treatment.title} | $value | $shares |"
    }

    private fun percent(share: Double?) = if (share == null) "-" else "%.0f".format(Locale.ROOT, share * PERCENT)

    private companion object {
        val LOADS = listOf(0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0)
        const val PERCENT = 100
    }
}
