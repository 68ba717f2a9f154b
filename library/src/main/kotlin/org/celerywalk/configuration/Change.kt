package org.celerywalk.configuration

/**
 * A change of the configuration, as submitted by an operator.
 *
 * @property changeId idempotency key, chosen by the client; a retry with the same id finds its earlier commit.
 * @property tokenHash keyed hash of the operator's token, hexadecimal.
 * @property hasBootstrapToken true if the token is the bootstrap token of the settings.
 * @property timestampMillis wall-clock time in milliseconds since the epoch, for the audit trail.
 * @property isDryRun true if the change is only validated and compared with the current configuration, not committed.
 */
public data class Change(
    public val changeId: String,
    public val tokenHash: String,
    public val hasBootstrapToken: Boolean,
    public val sections: List<ProposedSection>,
    public val comment: String,
    public val timestampMillis: Long,
    public val isDryRun: Boolean = false,
)

/** New text of a section. [baseVersion] is the section version that the operator edited, 0 if there was none. */
public data class ProposedSection(public val team: Team, public val baseVersion: Long, public val yaml: String)

/** Outcome of a change. [wireName] identifies the outcome in replies to the operator. */
public sealed class ChangeResult(public val wireName: String) {
    /** The change was committed as version [version]. */
    public data class Applied(public val document: Document, public val difference: List<String>) :
        ChangeResult("applied") {
        /** Configuration version that the change created. */
        public val version: Long get() = document.version
    }

    /** The change was a dry run and is valid; nothing was committed. */
    public data class Planned(public val difference: List<String>) : ChangeResult("planned")

    /** The proposed text does not change the configuration, which has version [version]. */
    public data class Unchanged(public val version: Long) : ChangeResult("unchanged")

    /** An earlier attempt with the same change id was committed as version [version]. */
    public data class AlreadyApplied(public val version: Long) : ChangeResult("already_applied")

    /** Another change was committed since the base version, or the change id was used for another change. */
    public data class Conflict(public val problem: String) : ChangeResult("conflict")

    /** The resulting document is not valid. */
    public data class Invalid(public val faults: List<Fault>) : ChangeResult("invalid")

    /** The operator is unknown or its team does not own a section of the change. */
    public data class Forbidden(public val problem: String) : ChangeResult("forbidden")

    /** The table failed or conflicts persisted. [mayBeCommitted] is true if a commit may have taken or take effect. */
    public data class Unavailable(public val problem: String, public val mayBeCommitted: Boolean) :
        ChangeResult("unavailable")
}
