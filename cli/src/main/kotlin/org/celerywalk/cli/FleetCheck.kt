package org.celerywalk.cli

import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import org.celerywalk.fleet.FindingSeverity
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.fleet.FleetConfigurationCheck
import org.celerywalk.fleet.FleetDifference
import org.celerywalk.platform.wire.FleetDocument
import java.nio.file.Files
import java.nio.file.Path

/** Checks the configuration of a fleet with gateways before an operator writes it to the platform's store. */
internal class FleetCheck : Command(
    "check",
    "Checks a fleet's configuration. Exits with 0 without findings, 1 after warnings only and 2 after errors.",
    "celerywalk fleet check fleet.json --in-force current.json",
) {
    private val file by argument().path(mustExist = true, canBeDir = false)
    private val inForce by option(help = "File with the version in force; the differences are listed")
        .path(mustExist = true, canBeDir = false)
    private val json by option("--json", help = "Same as --output json").flag()

    override fun run() {
        val bytes = Files.readAllBytes(file)
        val proposed = decode(file, bytes)
        val findings = FleetConfigurationCheck(proposed).findings(FleetDocument.leftOutEntries(bytes))
        val difference = inForce?.let { FleetDifference.between(decode(it, Files.readAllBytes(it)), proposed) }
        val jsonFields = mapOf(
            "findings" to findings.map {
                mapOf("severity" to it.severity.name.lowercase(), "subject" to it.subject, "problem" to it.problem)
            },
            "difference" to difference,
        )
        print(jsonFields, json) {
            findings.map { "$it" }.ifEmpty { listOf("no findings") } +
                difference?.ifEmpty { listOf("no difference") }.orEmpty()
        }
        when {
            findings.any { it.severity == FindingSeverity.ERROR } -> throw ProgramResult(ExitCode.INVALID.code)
            findings.isNotEmpty() -> throw ProgramResult(ExitCode.USAGE.code)
        }
    }

    private fun decode(path: Path, bytes: ByteArray): FleetConfiguration =
        FleetDocument.decodeConfiguration(bytes) ?: throw failure(ExitCode.INVALID, "$path: not a JSON object")
}
