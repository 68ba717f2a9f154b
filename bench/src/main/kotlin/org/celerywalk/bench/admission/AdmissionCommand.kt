package org.celerywalk.bench.admission

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo

/** Prints goodput over offered load for each mix, with and without admission, on the same seeds. */
internal class AdmissionCommand : CliktCommand(name = "admission") {
    private val seeds by option("--seeds", help = "number of seeds").int().restrictTo(min = 1).default(DEFAULT_SEEDS)
    private val gateways by option("--gateways", help = "number of gateways").int().restrictTo(min = 1)
        .default(DEFAULT_GATEWAYS)

    override fun run() {
        val comparison = AdmissionComparison(gateways, seeds)
        Mix.entries.forEach { echo(comparison.toMarkdown(it)) }
    }

    private companion object {
        const val DEFAULT_SEEDS = 3
        const val DEFAULT_GATEWAYS = 24
    }
}
