package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Codec without YAML: parses only texts that it wrote before, and returns the section of each. */
internal object TestCodec : DocumentCodec {
    private val sections = HashMap<String, Section>()

    override fun parse(team: Team, yaml: String, file: String): Either<List<Fault>, Section> = when {
        yaml.isNotEmpty() -> sections[yaml]?.right() ?: listOf(Fault(file, team.sectionName, yaml, "known text")).left()
        team == Team.COMMERCIAL -> CommercialSection().right()
        team == Team.SECURITY -> SecuritySection().right()
        else -> PlatformSection().right()
    }

    override fun write(section: Section): String = "$section".also { sections[it] = section }
}

internal fun hashOf(name: String) = name.hashCode().toString(16).padStart(64, '0').replace('-', 'f')

internal fun operator(team: Team, name: String = team.sectionName) = OperatorEntry(name, team, hashOf("token-$name"))

/** Returns the section with an additional entry [name]. */
internal fun Section.plus(name: String): Section = when (this) {
    is CommercialSection -> copy(clientAccounts = clientAccounts + ClientAccountEntry(name, 1, 1))
    is SecuritySection -> copy(operators = operators + operator(Team.SECURITY, name))
    is PlatformSection -> copy(dataCentres = dataCentres + DataCentreEntry(name, "r"))
}

/** Names of the entries of the kind that [plus] adds. */
internal fun Section.names(): List<String> = when (this) {
    is CommercialSection -> clientAccounts.map { it.name }
    is SecuritySection -> operators.map { it.name }
    is PlatformSection -> dataCentres.map { it.name }
}
