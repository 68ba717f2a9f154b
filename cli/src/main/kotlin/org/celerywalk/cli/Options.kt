package org.celerywalk.cli

import com.fasterxml.jackson.databind.json.JsonMapper
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.theme
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.path
import org.celerywalk.configuration.isAddress
import java.nio.file.Files
import java.nio.file.Path

/** Options for the entries to contact and for the operator token. */
internal class ConnectionOptions : OptionGroup("Connection") {
    val entries by option("--entry", metavar = "HOST:PORT", help = "gRPC address of an entry; may be repeated")
        .convert { if (isAddress(it)) it else fail("given '$it', expected host:port") }
        .multiple(required = true)

    private val tokenFile by option(help = "File with the operator's token")
        .path(mustExist = true, canBeDir = false)
        .required()

    /** Operator token, read from the file at each call. */
    val token: String get() = readSecret(tokenFile)

    /** Calls [body] with a client of the first given entry and closes the client afterwards. */
    fun <T> use(body: (OperatorClient) -> T): T = OperatorClient(entries.first(), token).use(body)
}

/** Output formats of the option `--output`. */
internal enum class Format { TEXT, JSON }

/** Base class of commands with the option `--output` and an example in their help. */
internal abstract class Command(
    name: String,
    private val help: String,
    private val example: String,
) : CliktCommand(name) {
    private val output by option(help = "Output format").enum<Format> { it.name.lowercase() }
        .default(Format.TEXT)

    override fun help(context: Context): String = help

    override fun helpEpilog(context: Context): String = "Example: ${context.theme.info(example)}"

    /** Prints [textLines] in text format, or [jsonFields] as one JSON object, which [asJson] selects too. */
    fun print(jsonFields: Map<String, Any?>, asJson: Boolean = false, textLines: () -> List<String>) {
        if (asJson || output == Format.JSON) {
            echo(JSON.writeValueAsString(jsonFields))
        } else {
            textLines().forEach { echo(it) }
        }
    }

    private companion object {
        val JSON: JsonMapper = JsonMapper.builder().build()
    }
}

/** Reads a secret from the first line of [file], without surrounding whitespace. */
internal fun readSecret(file: Path): String = Files.readString(file).lineSequence().first().trim()
