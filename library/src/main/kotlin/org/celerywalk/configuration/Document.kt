package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right

/** YAML text of all sections of one configuration version, as stored and sent. */
public data class Document(public val version: Long, public val sections: Map<Team, SectionText>) {
    /** Returns the version of the document and the version at which each section last changed. */
    public fun head(): ConfigurationHead = ConfigurationHead(version, sections.mapValues { it.value.version })

    /** Parses and validates all sections; [file] is the document name in the returned faults. */
    public fun parse(codec: DocumentCodec, file: String): Either<List<Fault>, Configuration> {
        val parsed = Team.entries.associateWith { codec.parse(it, sections[it]?.yaml.orEmpty(), file) }
        val faults = parsed.values.flatMap { it.fold({ faults -> faults }, { emptyList() }) }
        if (faults.isNotEmpty()) return faults.left()
        return assemble(parsed.mapValues { it.value.getOrNull() }).right().flatMap { configuration ->
            val invalid = configuration.faults(file)
            if (invalid.isEmpty()) configuration.right() else invalid.left()
        }
    }

    private fun assemble(parsed: Map<Team, Section?>): Configuration = Configuration(
        version = version,
        sectionVersions = sections.mapValues { it.value.version },
        commercial = parsed[Team.COMMERCIAL] as? CommercialSection ?: CommercialSection(),
        security = parsed[Team.SECURITY] as? SecuritySection ?: SecuritySection(),
        platform = parsed[Team.PLATFORM] as? PlatformSection ?: PlatformSection(),
    )

    public companion object {
        /** The document before the first change: version 0 without sections. */
        public val EMPTY: Document = Document(0, emptyMap())
    }
}

/** YAML text of one section. [version] is the configuration version at which the section last changed. */
public data class SectionText(public val version: Long, public val yaml: String)

/** Parses and writes sections as YAML. */
public interface DocumentCodec {
    /** Parses the section of [team]; paths in the returned faults start with the section name. */
    public fun parse(team: Team, yaml: String, file: String): Either<List<Fault>, Section>

    /** Returns the YAML text of [section]. */
    public fun write(section: Section): String
}
