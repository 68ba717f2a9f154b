package org.celerywalk.bench

import com.fasterxml.jackson.databind.SerializationFeature
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import com.fasterxml.jackson.module.kotlin.readValue
import org.HdrHistogram.Histogram
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import java.io.File
import java.util.Locale
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the figures of one policy for one scenario over all seeds. Times are simulated seconds, shares are fractions,
 * and property names are the field names of the JSON report.
 *
 * @property load fraction of the workload's capacity.
 * @property hitRate share of the prompt tokens that were cached.
 * @property urgentFirstTokenP99 time to first token of requests with a priority above 0.
 * @property wastedShare share of the prompt tokens that were computed although another replica had them cached.
 * @property worstServedShare lowest served share of any account's prompt tokens (see [Metrics.servedTokens]).
 * @property hitRateAfterFault hit rate of the 10 s after the fault as a ratio to the hit rate before the fault.
 */
internal data class Row(
    val workload: String,
    val condition: String,
    val load: Double,
    val policy: String,
    val hitRate: Double,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val urgentFirstTokenP99: Double,
    val wastedShare: Double,
    val refusedShare: Double,
    val refusedShareAfterFault: Double,
    val worstServedShare: Double,
    val accountFirstTokenP99: List<Double>,
    val hitRateAfterFault: Double,
) {
    companion object {
        fun of(scenario: Scenario, policy: Policy, metrics: Metrics): Row {
            val servedShares = metrics.offeredTokens.indices.filter { metrics.offeredTokens[it] > 0 }
                .map { metrics.servedTokens[it].toDouble() / metrics.offeredTokens[it] }
            val faultStart = Condition.FaultStart
            val hitRateBeforeFault = metrics.hitsBySecond.hitRate(Condition.WarmUpDuration, faultStart)
            return Row(
                workload = scenario.workload.name,
                condition = scenario.condition.name,
                load = scenario.load,
                policy = policy.name,
                hitRate = round(metrics.cachedTokens.toDouble() / metrics.promptTokens),
                firstTokenP50 = metrics.firstTokenMicros.secondsAt(MEDIAN_PERCENTILE),
                firstTokenP99 = metrics.firstTokenMicros.secondsAt(TAIL_PERCENTILE),
                urgentFirstTokenP99 = metrics.urgentFirstTokenMicros.secondsAt(TAIL_PERCENTILE),
                wastedShare = round(metrics.wastedTokens.toDouble() / metrics.promptTokens),
                refusedShare = round(metrics.refusedRequests.toDouble() / metrics.measuredRequests),
                refusedShareAfterFault = round(metrics.refusedAfterFault.toDouble() / metrics.measuredAfterFault),
                worstServedShare = round(servedShares.min()),
                accountFirstTokenP99 = metrics.accountFirstTokenMicros.map { it.secondsAt(TAIL_PERCENTILE) },
                hitRateAfterFault = round(
                    metrics.hitsBySecond.hitRate(faultStart, faultStart + 10.seconds) / hitRateBeforeFault,
                ),
            )
        }

        private fun Histogram.secondsAt(percentile: Double): Double =
            round(getValueAtPercentile(percentile) / MICROS_PER_SECOND)

        private fun round(value: Double): Double = Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR

        private const val MEDIAN_PERCENTILE = 50.0
        private const val TAIL_PERCENTILE = 99.0
        private const val MICROS_PER_SECOND = 1e6
        private const val ROUNDING_FACTOR = 1e5
    }
}

/**
 * Compares one measured figure with its target. Property names are the field names of the JSON report.
 *
 * @property bound target as text: a factor of a reference policy's figure, or an absolute value.
 * @property limit value of the bound.
 */
internal data class Target(
    val workload: String,
    val condition: String,
    val figure: String,
    val bound: String,
    val limit: Double,
    val measured: Double,
    val met: Boolean,
)

/** Holds the results of one run of the benchmark. Property names are the field names of the JSON report. */
internal data class Report(
    val command: String,
    val seeds: List<Int>,
    val rows: List<Row>,
    val targets: List<Target>,
) {
    /** Writes the results as JSON and Markdown and, for each workload, a chart of the steady condition. */
    fun write(directory: File) {
        directory.mkdirs()
        File(directory, "bench.json").writeText(toJson())
        File(directory, "bench.md").writeText(toMarkdown())
        Workload.all.forEach { workload ->
            val path = File(directory, "bench-${workload.name.lowercase()}.png").path
            BitmapEncoder.saveBitmap(chart(workload.name), path, BitmapEncoder.BitmapFormat.PNG)
        }
    }

    fun toJson(): String = mapper.writeValueAsString(this) + "\n"

    fun toMarkdown(): String = buildString {
        appendLine("Command `$command`, seeds ${seeds.joinToString()}. Times are simulated seconds.")
        appendLine()
        appendLine("| workload | condition | figure | target | limit | measured | |")
        appendLine("| --- | --- | --- | --- | --- | --- | --- |")
        targets.forEach {
            val verdict = if (it.met) "met" else "**missed**"
            val labels = listOf(it.workload, it.condition, it.figure, it.bound)
            appendLine(
                (labels + formatValue(it.limit) + formatValue(it.measured) + verdict).joinToString(" | ", "| ", " |"),
            )
        }
        appendLine()
        append("| workload | condition | load | policy | hit rate | p50 | p99 | urgent p99 ")
        appendLine("| wasted | refused | worst account |")
        appendLine("|" + " --- |".repeat(ROW_COLUMNS))
        rows.forEach {
            val times = listOf(it.firstTokenP50, it.firstTokenP99, it.urgentFirstTokenP99)
            val figures = listOf(it.hitRate) + times + listOf(it.wastedShare, it.refusedShare, it.worstServedShare)
            val cells = listOf(it.workload, it.condition, it.load.toString(), it.policy) + figures.map(::formatValue)
            appendLine(cells.joinToString(" | ", "| ", " |"))
        }
    }

    /** Lists the rows of both reports with the ratios of [other]'s figures to this report's. */
    fun compare(other: Report): String = buildString {
        appendLine("| workload | condition | load | policy | hit rate | p99 | wasted | worst account |")
        appendLine("|" + " --- |".repeat(COMPARISON_COLUMNS))
        val otherRows = other.rows.associateBy { listOf(it.workload, it.condition, it.load, it.policy) }
        rows.forEach { row ->
            val otherRow = otherRows[listOf(row.workload, row.condition, row.load, row.policy)] ?: return@forEach
            val cells = listOf(row.workload, row.condition, row.load.toString(), row.policy) +
                formatChange(row.hitRate, otherRow.hitRate) + formatChange(row.firstTokenP99, otherRow.firstTokenP99) +
                formatChange(row.wastedShare, otherRow.wastedShare) +
                formatChange(row.worstServedShare, otherRow.worstServedShare)
            appendLine(cells.joinToString(" | ", "| ", " |"))
        }
        appendLine()
        val metCount = targets.count { it.met }
        val otherMetCount = other.targets.count { it.met }
        appendLine("Targets met: $metCount of ${targets.size}, then $otherMetCount of ${other.targets.size}.")
    }

    private fun formatChange(before: Double, after: Double): String =
        "${formatValue(before)} → ${formatValue(after)} (×${if (before == 0.0) "-" else formatValue(after / before)})"

    private fun chart(workload: String): XYChart {
        val chart = XYChartBuilder().width(WIDTH).height(HEIGHT).title("$workload, steady")
            .xAxisTitle("load, %")
            .yAxisTitle("99th percentile of the time to first token, s")
            .build()
        chart.styler.isYAxisLogarithmic = true
        rows.filter { it.workload == workload && it.condition == Condition.Steady.name }.groupBy { it.policy }
            .forEach { (policy, policyRows) ->
                val sortedRows = policyRows.sortedBy { it.load }
                chart.addSeries(policy, sortedRows.map { it.load * PERCENT }, sortedRows.map { it.firstTokenP99 })
            }
        return chart
    }

    companion object {
        private val mapper = jacksonObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
        private const val WIDTH = 900
        private const val HEIGHT = 500
        private const val PERCENT = 100
        private const val ROW_COLUMNS = 11
        private const val COMPARISON_COLUMNS = 8

        fun read(file: File): Report = mapper.readValue(file)

        private fun formatValue(value: Double): String = String.format(Locale.ROOT, "%.4g", value)
    }
}
