package org.celerywalk.cli

import com.github.ajalt.clikt.core.Abort
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.mordant.terminal.YesNoPrompt
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.protocol.ApplyReply
import org.celerywalk.protocol.AuditEntry
import org.celerywalk.settings.YamlCodec
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.util.UUID

private const val DEFAULT_HISTORY_LIMIT = 20

/** Validates a configuration document locally. */
internal class ConfigCheck : Command(
    "check",
    "Validates a configuration document without contacting an entry.",
    "celerywalk config check fleet.yaml",
) {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun run() {
        val sections = readSections(file)
        val document = Document(1, sections.mapValues { SectionText(1, it.value) })
        document.parse(YamlCodec, "$file").onLeft { throw invalidInput(it) }
        print(mapOf("result" to "valid", "sections" to sections.keys.map { it.sectionName })) { listOf("valid") }
    }
}

/** Shows the changes that a document would make, without applying them. */
internal class ConfigPlan : Command(
    "plan",
    "Shows the changes that a document would make. Sections that are not in the document stay unchanged.",
    "celerywalk config plan fleet.yaml --entry 10.0.0.5:7001 --token-file token",
) {
    private val file by argument().path(mustExist = true, canBeDir = false)
    private val connection by ConnectionOptions()

    override fun run() {
        val sections = readSections(file)
        connection.use { client ->
            val base = client.show()
            val reply = client.apply(
                ProposedChange(withBaseVersions(sections, base, base.version), newChangeId(), dryRun = true),
            )
            if (reply.result != "planned") throw applyError(reply)
            print(mapOf("result" to "planned", "based_on" to base.version, "difference" to reply.differenceList)) {
                differenceLines(reply.differenceList) + "based on version ${base.version}"
            }
        }
    }
}

/** Applies a document, by default after showing the changes and asking for confirmation. */
internal class ConfigApply : Command(
    "apply",
    "Applies a document after showing the changes. Without a terminal, pass --yes and --based-on.",
    "celerywalk config apply fleet.yaml --based-on 12 --yes --entry 10.0.0.5:7001 --token-file token",
) {
    private val file by argument().path(mustExist = true, canBeDir = false)
    private val connection by ConnectionOptions()
    private val basedOn by option(help = "Version that 'plan' showed; sections changed since are a conflict").long()
    private val changeId by option(help = "Id of an earlier change to repeat after its answer was lost")
    private val comment by option(help = "Text for the audit trail").default("")
    private val yes by option("--yes", help = "Do not ask for confirmation; needs --based-on").flag()

    override fun run() {
        if (yes && basedOn == null) throw failure(ExitCode.USAGE, "--yes needs --based-on")
        val sections = readSections(file)
        connection.use { client ->
            // Version 0 is the empty table and needs no read. The bootstrap token may not read after the first change,
            // so a read would fail when the first change is repeated.
            val base = if (basedOn == 0L) Document.EMPTY else client.show()
            val id = changeId ?: newChangeId()
            val change = ProposedChange(withBaseVersions(sections, base, basedOn ?: base.version), id, comment)
            if (!yes) confirm(client.apply(change.copy(dryRun = true)))
            val reply = client.apply(change)
            if (reply.result !in SUCCESS_RESULTS) throw applyError(reply, "change id $id")
            val jsonFields = mapOf(
                "result" to reply.result,
                "version" to reply.version,
                "change_id" to id,
                "difference" to reply.differenceList,
            )
            print(jsonFields) { listOf("${reply.result}, version ${reply.version}, change id $id") }
        }
    }

    private fun confirm(plan: ApplyReply) {
        if (plan.result != "planned") throw applyError(plan)
        differenceLines(plan.differenceList).forEach { echo(it, err = true) }
        if (YesNoPrompt("Apply?", terminal, default = false).ask() != true) throw Abort()
    }

    private companion object {
        val SUCCESS_RESULTS = setOf("applied", "unchanged", "already_applied")
    }
}

/** Shows the active configuration. */
internal class ConfigShow : Command(
    "show",
    "Shows the active configuration as one document that 'apply' accepts.",
    "celerywalk config show --entry 10.0.0.5:7001 --token-file token > fleet.yaml",
) {
    private val connection by ConnectionOptions()

    override fun run() {
        val document = connection.use { it.show() }
        val versions = document.sections.map { (team, text) -> team.sectionName to text.version }.toMap()
        val yaml = YamlCodec.join(document.sections.mapValues { it.value.yaml })
        print(mapOf("version" to document.version, "section_versions" to versions, "document" to yaml)) {
            listOf("# version ${document.version}", yaml.trimEnd())
        }
    }
}

/** Lists the audit entries of accepted changes. */
internal class ConfigHistory : Command(
    "history",
    "Lists the last accepted changes, oldest first.",
    "celerywalk config history --limit 5 --entry 10.0.0.5:7001 --token-file token",
) {
    private val connection by ConnectionOptions()
    private val limit by option(help = "Number of changes").int().default(DEFAULT_HISTORY_LIMIT)

    override fun run() {
        val entries = connection.use { it.history(limit) }.entriesList
        print(mapOf("changes" to entries.map(::jsonFields))) { entries.flatMap(::textLines) }
    }

    private fun jsonFields(entry: AuditEntry) = mapOf(
        "version" to entry.version,
        "previous_version" to entry.previousVersion,
        "change_id" to entry.changeId,
        "operator" to entry.operator,
        "team" to entry.team,
        "sections" to entry.sectionsList,
        "at" to "${Instant.ofEpochMilli(entry.atMillis)}",
        "difference" to entry.differenceList,
        "comment" to entry.comment,
    )

    private fun textLines(entry: AuditEntry): List<String> {
        val at = Instant.ofEpochMilli(entry.atMillis)
        val heading = "version ${entry.version} at $at by ${entry.operator} (${entry.team}) ${entry.comment}".trimEnd()
        return listOf(heading) + entry.differenceList.map { "  $it" }
    }
}

/** Returns the YAML text of each section of the document in [file]; an invalid document ends the command. */
internal fun readSections(file: Path): Map<Team, String> =
    YamlCodec.split(Files.readString(file), "$file").fold({ throw invalidInput(it) }, { it })

/**
 * Pairs each section with the version on which its change is based, for optimistic concurrency control.
 *
 * A section of [base] that has changed after version [basedOnVersion] gets [basedOnVersion], which is older than the
 * section's own version: the entry then reports a conflict instead of overwriting changes that the author has not seen.
 */
internal fun withBaseVersions(
    sections: Map<Team, String>,
    base: Document,
    basedOnVersion: Long,
): Map<Team, SectionText> =
    sections.mapValues { (team, yaml) -> SectionText(minOf(base.sections[team]?.version ?: 0, basedOnVersion), yaml) }

internal fun newChangeId() = "${UUID.randomUUID()}"

/** Returns the error that ends the command after an unsuccessful [reply]. */
internal fun applyError(reply: ApplyReply, hint: String = "") = failure(
    when (reply.result) {
        "invalid" -> ExitCode.INVALID
        "conflict" -> ExitCode.CONFLICT
        "forbidden" -> ExitCode.FORBIDDEN
        else -> ExitCode.UNAVAILABLE
    },
    (listOf("${reply.result} $hint".trimEnd()) + reply.problemsList).joinToString("\n"),
)

private fun differenceLines(difference: List<String>) = difference.ifEmpty { listOf("no difference") }
