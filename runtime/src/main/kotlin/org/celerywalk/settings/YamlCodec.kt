package org.celerywalk.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.PropertyNamingStrategies
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import com.fasterxml.jackson.module.kotlin.kotlinModule
import org.celerywalk.configuration.CommercialSection
import org.celerywalk.configuration.DocumentCodec
import org.celerywalk.configuration.Fault
import org.celerywalk.configuration.PlatformSection
import org.celerywalk.configuration.Section
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.configuration.Team
import kotlin.reflect.KClass

/** Converts sections of the configuration document from and to YAML. Thread-safe. */
public object YamlCodec : DocumentCodec {
    private val writer = YAMLMapper.builder()
        .addModule(kotlinModule())
        .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
        .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
        .build()

    override fun parse(team: Team, yaml: String, file: String): Either<List<Fault>, Section> {
        val reader = StrictReader(file)
        val section = reader.parse(yaml, team.sectionName)?.let { reader.read(it, team.sectionName, sectionType(team)) }
        return if (section == null) reader.faults.left() else section.right()
    }

    override fun write(section: Section): String {
        val tree = writer.valueToTree<ObjectNode>(section)
        lowerCaseEnums(section, tree)
        return writer.writeValueAsString(tree)
    }

    /**
     * Splits a document with the top-level keys `commercial`, `security` and `platform` into the text of its sections.
     *
     * Sections that the document does not contain are missing from the result.
     */
    public fun split(yaml: String, file: String): Either<List<Fault>, Map<Team, String>> {
        val reader = StrictReader(file)
        val root = reader.parse(yaml, "") ?: return reader.faults.left()
        val present = Team.entries.filter { root.has(it.sectionName) }
        reader.read(root, "", WholeDocument::class)
        return if (reader.faults.isEmpty()) {
            present.associateWith { writer.writeValueAsString(root.get(it.sectionName)) }.right()
        } else {
            reader.faults.left()
        }
    }

    /** Joins section texts into one document; the inverse of [split]. */
    public fun join(sections: Map<Team, String>): String = sections.entries.joinToString("") { (team, yaml) ->
        val body = yaml.trimEnd().lines().joinToString("\n") { if (it.isEmpty()) it else "  $it" }
        "${team.sectionName}:\n$body\n"
    }

    private fun sectionType(team: Team): KClass<out Section> = when (team) {
        Team.COMMERCIAL -> CommercialSection::class
        Team.SECURITY -> SecuritySection::class
        Team.PLATFORM -> PlatformSection::class
    }

    private fun lowerCaseEnums(section: Section, tree: ObjectNode) {
        val enumProperty = when (section) {
            is PlatformSection -> "endpoints" to "state"
            is SecuritySection -> "operators" to "team"
            is CommercialSection -> return
        }
        tree.path(enumProperty.first).forEach { item ->
            (item as ObjectNode).put(enumProperty.second, item.path(enumProperty.second).asText().lowercase())
        }
    }
}

/** Schema of a whole configuration document; its property names are the top-level YAML keys. */
internal data class WholeDocument(
    val commercial: CommercialSection = CommercialSection(),
    val security: SecuritySection = SecuritySection(),
    val platform: PlatformSection = PlatformSection(),
)
