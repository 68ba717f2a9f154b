package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.security.MessageDigest
import java.util.HexFormat

private const val BOOTSTRAP_NAME = "bootstrap"

/** Authorises and validates [change] against [base]; returns the final result if there is nothing to commit. */
internal fun proposeChange(change: Change, base: ChangeBase, codec: DocumentCodec): Either<ChangeResult, Proposal> {
    val currentConfiguration = base.document.parse(codec, "configuration").getOrNull()
    val operator = currentConfiguration?.security?.operators?.find { hashesEqual(it.tokenHash, change.tokenHash) }
    val author = when {
        operator != null -> Author(operator.name, setOf(operator.team), operator.team.sectionName, currentConfiguration)
        // After the first change the bootstrap token can only be used to retry that change.
        change.hasBootstrapToken -> Author(BOOTSTRAP_NAME, Team.entries.toSet(), BOOTSTRAP_NAME, currentConfiguration)
        else -> return ChangeResult.Forbidden("the operator's token is unknown").left()
    }
    // Parsed sections are compared, not their text, so that an operator can submit the whole document.
    val changedSections = change.sections.filter {
        val section = codec.parse(it.team, it.yaml, "configuration").getOrNull()
        section == null || currentConfiguration == null || section != currentConfiguration.section(it.team)
    }
    return (findRefusal(change, base, author, changedSections) ?: findPreviousResult(change, base))?.left()
        ?: composeProposal(change, base, author, changedSections, codec)
}

/**
 * The author of a change: a declared operator or the holder of the bootstrap token.
 *
 * @property ownedSections teams whose sections the author may change.
 * @property currentConfiguration the configuration that the change replaces, null if there is none.
 */
private data class Author(
    val name: String,
    val ownedSections: Set<Team>,
    val teamName: String,
    val currentConfiguration: Configuration?,
)

private fun findPreviousResult(change: Change, base: ChangeBase): ChangeResult? = base.previousCommit?.let {
    if (it.digest == digestOf(change.sections)) {
        ChangeResult.AlreadyApplied(it.version)
    } else {
        ChangeResult.Conflict("change id ${change.changeId} was used for another change (version ${it.version})")
    }
}

private fun findRefusal(
    change: Change,
    base: ChangeBase,
    author: Author,
    changedSections: List<ProposedSection>,
): ChangeResult? {
    val unownedNames = changedSections.filter { it.team !in author.ownedSections }.map { it.team.sectionName }
    val outdatedSections = changedSections.filter { it.baseVersion != (base.document.sections[it.team]?.version ?: 0L) }
    return when {
        base.previousCommit != null -> null
        author.name == BOOTSTRAP_NAME && base.headRecordVersion != null ->
            ChangeResult.Forbidden("the bootstrap token is accepted for the first change only")
        unownedNames.isNotEmpty() ->
            ChangeResult.Forbidden(
                "${author.name} of ${author.teamName} cannot change ${unownedNames.joinToString()}",
            )
        changedSections.isEmpty() && !change.isDryRun -> ChangeResult.Unchanged(base.document.version)
        outdatedSections.isNotEmpty() -> ChangeResult.Conflict(
            outdatedSections.joinToString { section ->
                val version = base.document.sections[section.team]?.version ?: 0L
                "${section.team.sectionName} is at version $version, the change is based on ${section.baseVersion}"
            },
        )
        else -> null
    }
}

private fun composeProposal(
    change: Change,
    base: ChangeBase,
    author: Author,
    changedSections: List<ProposedSection>,
    codec: DocumentCodec,
): Either<ChangeResult, Proposal> {
    val currentConfiguration = author.currentConfiguration
    val version = base.document.version + 1
    val texts = changedSections.associate { it.team to SectionText(version, it.yaml) }
    val document = Document(version, base.document.sections + texts)
    return document.parse(codec, "configuration").fold({ ChangeResult.Invalid(it).left() }) { proposedConfiguration ->
        val undoneWithdrawals = currentConfiguration?.let { findUndoneWithdrawals(it, proposedConfiguration) }.orEmpty()
        val differenceLines = difference(currentConfiguration, proposedConfiguration)
        when {
            undoneWithdrawals.isNotEmpty() -> ChangeResult.Invalid(undoneWithdrawals).left()
            change.isDryRun -> ChangeResult.Planned(differenceLines).left()
            else -> Proposal(
                document = document,
                changedTeams = texts.keys,
                audit = AuditRecord(
                    version,
                    base.document.version,
                    change.changeId,
                    author.name,
                    author.teamName,
                    texts.keys.map { it.sectionName },
                    change.timestampMillis,
                    differenceLines,
                    change.comment,
                ),
                digest = digestOf(change.sections),
            ).right()
        }
    }
}

/**
 * Finds withdrawn keys that the change would make valid again or remove.
 *
 * Entries of withdrawn keys must stay, because a removed key id could later be declared again.
 */
private fun findUndoneWithdrawals(
    currentConfiguration: Configuration,
    proposedConfiguration: Configuration,
): List<Fault> {
    val withdrawnIds = proposedConfiguration.security.keys.filter { it.withdrawn }.map { it.id }.toSet()
    return currentConfiguration.security.keys.filter { it.withdrawn && it.id !in withdrawnIds }.map {
        Fault("configuration", "security.keys", "no withdrawn entry of key ${it.id}", "its entry with withdrawn: true")
    }
}

/**
 * Proposes to mark the keys with [ids] as withdrawn, with [operator] as the author in the audit trail.
 *
 * Returns the final result if every one of these keys is withdrawn already or not declared.
 */
internal fun proposeWithdrawal(
    ids: Set<String>,
    operator: String,
    timestampMillis: Long,
    base: ChangeBase,
    codec: DocumentCodec,
): Either<ChangeResult, Proposal> {
    val currentConfiguration = base.document.parse(codec, "configuration").getOrNull()
    val validKeys = currentConfiguration?.security?.keys.orEmpty().filter { it.id in ids && !it.withdrawn }
    if (currentConfiguration == null || validKeys.isEmpty()) return ChangeResult.Unchanged(base.document.version).left()
    val keys = currentConfiguration.security.keys.map { if (it.id in ids) it.copy(withdrawn = true) else it }
    val proposedConfiguration = currentConfiguration.copy(security = currentConfiguration.security.copy(keys = keys))
    val version = base.document.version + 1
    val text = SectionText(version, codec.write(proposedConfiguration.security))
    return Proposal(
        document = Document(version, base.document.sections + (Team.SECURITY to text)),
        changedTeams = setOf(Team.SECURITY),
        audit = AuditRecord(
            version,
            base.document.version,
            "",
            operator,
            Team.SECURITY.sectionName,
            listOf(Team.SECURITY.sectionName),
            timestampMillis,
            difference(currentConfiguration, proposedConfiguration),
            "withdrawal outside the configuration: ${validKeys.joinToString { it.id }}",
        ),
        digest = digestOf(listOf(ProposedSection(Team.SECURITY, 0, ids.sorted().joinToString()))),
    ).right()
}

private fun hashesEqual(a: String, b: String) = MessageDigest.isEqual(a.toByteArray(), b.toByteArray())

private fun digestOf(sections: List<ProposedSection>): String {
    val text = sections.sortedBy { it.team }.joinToString("\u0000") { "${it.team}\u0000${it.yaml}" }
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
