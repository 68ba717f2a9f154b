package org.celerywalk.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.celerywalk.bench.admission.AdmissionCommand
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private class BenchCommand : CliktCommand(name = "bench") {
    override fun run() = Unit
}

private class RunCommand : CliktCommand(name = "run") {
    private val seedCount by option("--seeds", help = "number of seeds").int().restrictTo(min = 1)
        .default(DEFAULT_SEED_COUNT)
    private val loads by option("--loads", help = "loads of the steady condition, %").default("30,60,80,100,120")
    private val outputDirectory by option("--out", help = "directory for the results").file()
        .default(File("bench/target/results"))
    private val steadyOnly by option("--steady-only", help = "skip the other conditions").flag()
    private val productOnly by option("--product-only", help = "skip baselines and oracle").flag()
    private val threads by option("--threads", help = "number of scenarios to run in parallel").int()
        .restrictTo(min = 1)
        .default(DEFAULT_THREADS)

    override fun run() {
        val steadyLoads = loads.split(',').map { it.trim().toInt() / PERCENT }
        val conditions = if (steadyOnly) emptyList() else Condition.all.drop(1)
        val scenarios = Workload.all.flatMap { workload ->
            steadyLoads.map { Scenario(workload, Condition.Steady, it) } +
                conditions.map { Scenario(workload, it, Targets.TARGET_LOAD) }
        }
        val comparisonPolicies = if (productOnly) emptyList() else Policy.baselines + Policy.oracles
        val seeds = (1..seedCount).toList()
        // Scenarios run on one thread each and share no state, so the number of threads does not change the results.
        val pool = Executors.newFixedThreadPool(threads)
        val tasks = scenarios.map {
            Callable { it.measurePolicies(seeds, listOf(Policy.Product) + comparisonPolicies) }
        }
        val rows = pool.invokeAll(tasks).flatMap { it.get() }
        pool.shutdown()
        val command = "bin/bench run --seeds $seedCount --loads $loads" + (if (steadyOnly) " --steady-only" else "")
        val report = Report(command, seeds, rows, Targets(rows).check())
        report.write(outputDirectory)
        echo(report.toMarkdown())
    }

    private companion object {
        const val PERCENT = 100.0
        const val DEFAULT_SEED_COUNT = 3
        const val DEFAULT_THREADS = 4
    }
}

private class CompareCommand : CliktCommand(name = "compare") {
    private val before by argument().file(mustExist = true)
    private val after by argument().file(mustExist = true)

    override fun run() {
        echo(Report.read(before).compare(Report.read(after)))
    }
}

/** Runs the routing benchmark. */
public fun main(args: Array<String>) {
    BenchCommand().subcommands(RunCommand(), CompareCommand(), DecisionTimeCommand(), AdmissionCommand()).main(args)
}
